"""The configuration tool; and DNS-SD, from a zone file and from a stand-in server on loopback."""

import socket
import threading
import tomllib

import dns.flags
import dns.message
import dns.rrset
import dns.zone
import pytest
from standins import AmqpClient, BrokerStandIn, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.__main__ import main
from pinspread.config import application, dnssd, settings
from pinspread.config.amqp_front import amqp_file
from pinspread.config.models import File
from pinspread.config.template import template
from pinspread.policy.events import EndpointState

GOOD = template("booking")
MEMBERS = '[members]\nid = "c1"\nlisten = "127.0.0.1:7946"\nfleet = "f"\n'
VOTER = '[[leases.voter]]\nid = "c{0}"\naddress = "127.0.0.{0}:7947"\n'
LEASES = '[leases]\nlisten = "127.0.0.1:7947"\nlease_s = 10\n' + "".join(map(VOTER.format, (1, 2, 3)))
COPIES = '[copies]\nlisten = "127.0.0.1:7948"\n'
LEASES += '[[leases.task]]\nname = "sweep"\n'

ZONE = """$TTL 60
@ SOA ns hostmaster 1 60 60 60 60
@ NS ns
ns A 127.0.0.1
_http._tcp PTR Lodge\\ One._http._tcp
_http._tcp PTR park._http._tcp
_http._tcp PTR broken._http._tcp
_http._tcp PTR gone._http._tcp
_amqp._tcp PTR pay._amqp._tcp
Lodge\\ One._http._tcp SRV 0 0 {http} host
Lodge\\ One._http._tcp TXT "dest=1" "DEST=9" "rate=12.5" "flag"
park._http._tcp SRV 0 0 8081 host
park._http._tcp TXT "dest=2" "state=draining"
broken._http._tcp SRV 0 0 8082 host
broken._http._tcp TXT "dest=x"
pay._amqp._tcp SRV 0 0 {amqp} host
pay._amqp._tcp TXT "dest=3" "exchange=pay" "routing_key=in"
host A 127.0.0.1
"""


def test_config_check_accepts_what_config_write_makes(tmp_path, capsys):
    path = str(tmp_path / "booking.toml")
    assert main(["config", "write", "booking", "--file", path]) == 0
    assert main(["config", "check", path]) == 0
    assert main(["config", "write", "booking", "--file", path]) == 2  # an existing file is not overwritten
    assert main(["config", "write", "no name", "--file", path + "2"]) == 2
    assert main(["config", "check", path + "3"]) == 2
    assert "application.name" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "places"),
    [
        ("aim_s = 3", 'aim_s = "3"', ["class[0].aim_s"]),
        ('effect = "once"', 'effect = "never"', ["class[2].effect"]),
        ("window_s = 25", "window_s = 0", ["class[0].window_s"]),
        ("disk_mb = 3", "disk_mb = 0\nspare = 1", ["journal.disk_mb", "journal.spare"]),
        ('resp = "127.0.0.1:6379"', 'resp = "nowhere"', ["listen.resp"]),
        ("max_attempts = 6", "max_attempts = 7", ["limits.max_attempts"]),
        ('zone_file = "partners.zone"', "", ["discovery"]),
        ('domain = "partners.example."', 'domain = "a..b"', ["discovery.domain"]),
        ("[notices]", "[spare]", ["spare", "listen.resp"]),
        ('name = "payment"', 'name = "status-update"', ["class[2].name"]),
        ("deadline_s = 24", "deadline_s = 2\nx = 1", ["class[0].x", "class[0].deadline_s"]),
        ('amqp = "127.0.0.1:5672"', 'amqp = "127.0.0.1:6379"', ["listen.amqp"]),
        ('admin = "127.0.0.1:9600"', 'admin = "127.0.0.1:5672"', ["listen.admin"]),
        ("couriers = 1", "couriers =", ["line"]),
        ("[brokers]", MEMBERS + "timeout_s = 2\n[brokers]", ["members.timeout_s"]),
        ("[brokers]", MEMBERS.replace(":7946", ":9600") + "[brokers]", ["members.listen"]),
        ("[brokers]", MEMBERS.replace('fleet = "f"', "") + "[brokers]", ["members.fleet"]),
        ("[brokers]", MEMBERS + "period_s = 100\n[brokers]", ["members.period_s"]),
        ("[brokers]", MEMBERS + 'seeds = ["x"]\n[brokers]', ["members.seeds[0]"]),
        ("[brokers]", LEASES + "[brokers]", ["leases"]),  # without [members]
        ("[brokers]", MEMBERS + LEASES.replace(":7947", ":7946", 1) + "[brokers]", ["leases.listen"]),
        (
            "[brokers]",
            MEMBERS + LEASES.replace("lease_s = 10", "lease_s = 4") + "[brokers]",
            ["leases.renew_s"],
        ),
        ("[brokers]", MEMBERS + LEASES + VOTER.format(4) + "[brokers]", ["leases.voter"]),
        (
            "[brokers]",
            MEMBERS + LEASES.replace(VOTER.format(2), VOTER.format(1)) + "[brokers]",
            ["voter[1].id", "voter[1].address"],
        ),
        (
            "[brokers]",
            MEMBERS + LEASES + '[[leases.task]]\nname = "sweep"\n[brokers]',
            ["leases.task[1].name"],
        ),
        ("[brokers]", COPIES + "[brokers]", ["copies"]),  # without [leases]
        ("[brokers]", MEMBERS + LEASES + COPIES + "need = 3\n[brokers]", ["copies.need"]),
        ("[brokers]", MEMBERS + LEASES + COPIES.replace(":7948", ":7947") + "[brokers]", ["copies.listen"]),
        ("[brokers]", MEMBERS + LEASES.replace("task", "x") + "[brokers]", ["leases.x"]),
    ],
)
def test_config_check_names_every_problem_with_its_place(tmp_path, capsys, old, new, places):
    assert old in GOOD
    path = tmp_path / "f.toml"
    path.write_text(GOOD.replace(old, new, 1))
    assert main(["config", "check", str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == len(places)
    assert all(place in line for place, line in zip(places, lines, strict=True))


def test_a_member_is_found_by_the_records_that_its_own_file_prints(tmp_path, capsys):
    from pinspread.membership import seeds

    members = '[members]\nid = "c1"\nlisten = "127.0.0.7:7946"\nfleet = "f"\n'
    path = tmp_path / "f.toml"
    path.write_text(template("shop") + members + 'service = "_pinspread-swim._udp"\n')
    assert main(["config", "records", str(path)]) == 0
    (tmp_path / "zone").write_text(capsys.readouterr().out)
    records = dnssd.Records("partners.example.", zone_file=str(tmp_path / "zone"))
    assert seeds.find_seeds(records, "_pinspread-swim._udp") == ["127.0.0.7:7946"]
    records.zone_file = str(tmp_path / "none")
    assert seeds.find_seeds_or_none(records, "_pinspread-swim._udp") is None
    effective_settings = application.effective_settings(application.load(str(path)), seed=1)
    # No descriptor, so that no second process binds membership's port while the first runs.
    assert effective_settings.inherited_listener_descriptor is None


def test_the_couriers_own_records_are_a_zone_that_leads_to_it(tmp_path, capsys):
    path = tmp_path / "f.toml"
    path.write_text(GOOD)
    assert main(["config", "records", str(path)]) == 0
    zone = dns.zone.from_text(capsys.readouterr().out, "partners.example.", check_origin=False)
    pointers = {str(r.target) for r in zone.get_rdataset("_services._dns-sd._udp", "PTR")}
    assert pointers == {"_pinspread._tcp", "_amqp._tcp"}
    for service, port in (("_pinspread._tcp", 6379), ("_amqp._tcp", 5672)):
        (pointer,) = zone.get_rdataset(service, "PTR")
        (found,) = zone.get_rdataset(pointer.target, "SRV")
        assert found.port == port and str(zone.get_rdataset(found.target, "A")[0]) == "127.0.0.1"


class DnsServer:
    """A DNS server on loopback that answers from a zone."""

    def __init__(self, text):
        self.zone = dns.zone.from_text(text, "partners.example.", relativize=False)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                data, peer = self.sock.recvfrom(4096)
            except OSError:
                return
            query = dns.message.from_wire(data)
            answer = dns.message.make_response(query)
            answer.flags |= dns.flags.AA | dns.flags.RA
            question = query.question[0]
            found = self.zone.get_rdataset(question.name, question.rdtype)
            if found:
                answer.answer.append(dns.rrset.from_rdata_list(question.name, 60, list(found)))
            self.sock.sendto(answer.to_wire(), peer)


@pytest.mark.parametrize("source", ["zone file", "server"])
def test_endpoints_come_from_dns_sd_and_malformed_records_are_left_out(tmp_path, source):
    text = ZONE.format(http=8080, amqp=5672)
    if source == "server":
        server = DnsServer(text)
        records = dnssd.Records("partners.example.", server=server.address)
    else:
        (tmp_path / "z").write_text(text)
        records = dnssd.Records("partners.example.", zone_file=str(tmp_path / "z"))
    found = dnssd.browse(records, ["_http._tcp", "_amqp._tcp"], {})
    lodge, park, pay = sorted(found, key=lambda f: f[0].destination)
    assert (lodge[0].address, lodge[0].weight, lodge[1]) == ("127.0.0.1:8080", 12.5, EndpointState.READY)
    assert park[1] is EndpointState.DRAINING
    assert (pay[0].scheme, pay[0].route) == ("amqp", {"exchange": "pay", "routing_key": "in"})
    if source == "server":
        server.sock.close()


@pytest.mark.anyio
async def test_a_courier_off_the_platform_delivers_by_http_and_to_a_broker(tmp_path):
    http_endpoint, broker = HttpStandIn(), BrokerStandIn()
    async with (
        serve_on_loopback(http_endpoint) as http,
        serve_on_loopback(broker) as amqp,
        running_courier(tmp_path) as courier,
    ):
        ports = {"http": http.split(":")[1], "amqp": amqp.split(":")[1]}
        (tmp_path / "z").write_text(ZONE.format(**ports))
        records = dnssd.Records("partners.example.", zone_file=str(tmp_path / "z"))
        discovery = dnssd.DnsSdDiscovery(
            courier.engine, dnssd.DnsSdSource(records, ["_http._tcp", "_amqp._tcp"], 0.05)
        )
        courier.tasks.start_soon(discovery.run)
        client = await AmqpClient.open(courier.amqp)
        await client.consume()
        await client.publish("h1", dest=1)
        await client.publish("b1", dest=3)
        states = dict([((await client.next_final())[0]["id"], n) for n in range(2)])
        assert set(states) == {"h1", "b1"} and broker.effects == ["b1"] and len(http_endpoint.requests) == 1
        (tmp_path / "z").write_text("not a zone")  # the endpoint list stays as it was
        await wait_until(lambda: courier.engine.endpoints)
        assert courier.engine.endpoints["Lodge\\032One._http._tcp.partners.example."].usable


def test_an_applications_file_becomes_settings_of_the_policy(tmp_path):
    effective_settings = application.effective_settings(File.model_validate(tomllib.loads(GOOD)), seed=1)
    assert (
        effective_settings.listen == "127.0.0.1:6379"
        and effective_settings.policy_settings.classes[0].in_order
    )
    assert (
        effective_settings.delivery_rules["booking-change"].traffic_class.in_order
        and not effective_settings.delivery_rules["payment"].traffic_class.in_order
    )


def test_the_amqp_front_is_off_unless_its_file_gives_an_address(tmp_path):
    assert amqp_file().listen == "" and amqp_file(tmp_path / "none").listen == ""
    (tmp_path / "amqp.toml").write_text('listen = "127.0.0.1:5672"')
    assert amqp_file(tmp_path / "amqp.toml").listen == "127.0.0.1:5672"
    (tmp_path / "amqp.toml").write_text("listening = 1")
    with pytest.raises(settings.SettingsError):
        amqp_file(tmp_path / "amqp.toml")


@pytest.mark.parametrize(
    ("standard", "former"),
    [
        (["replication", "127.0.0.1:1"], ["copies", "127.0.0.1:1"]),
        (["config", "endpoints", "f.toml"], ["config", "hops", "f.toml"]),
    ],
)
def test_a_command_answers_to_its_standard_name_as_to_its_former_one(standard, former, capsys):
    assert main(standard) == main(former)
    output, former_output = capsys.readouterr().err.splitlines()
    assert output.replace(standard[0], former[0]) == former_output


@pytest.mark.parametrize(("standard", "former"), [("simulate", "fleet"), ("testbed", "stage")])
def test_a_tool_answers_to_its_standard_name_as_to_its_former_one(standard, former, capsys):
    output = []
    for name in (standard, former):
        assert main([name, "--help"]) == 0
        output.append(capsys.readouterr().out.replace(f"pinspread {name}", "pinspread NAME"))
    assert "Usage" in output[0] and output[0].split() == output[1].split()


def test_the_help_shows_the_standard_names(capsys):
    with pytest.raises(SystemExit):
        main(["--help"])
    output = capsys.readouterr().out
    assert all(name in output for name in ("simulate (fleet)", "testbed (stage)", "replication (copies)"))
