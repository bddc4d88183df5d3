"""Next hops by DNS-SD (RFC 6763), from a zone file or a server, and the courier's own records.

An instance's TXT record names its partner (`dest`) and may give `rate` (calls a second that the partner
takes), `kind`, `state=draining`, and for brokers `exchange`, `routing_key` and `vhost`.
"""

from dataclasses import replace

import anyio
import anyio.to_thread
import dns.exception
import dns.name
import dns.rdatatype
import dns.resolver
import dns.zone

from pinspread.core.log import log
from pinspread.core.message_fields import MAX_DESTINATION
from pinspread.core.messages import Endpoint
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.sockets import split_address

QUERY_S = 2.0
ROUTE = ("exchange", "routing_key", "vhost")


class Records:
    """Answers to questions about names: from a zone file, read anew each time, or from a server."""

    def __init__(self, domain, zone_file="", server=""):
        self.domain = dns.name.from_text(domain)
        self.zone_file = zone_file
        self.zone = None
        if server:
            host, port = split_address(server)
            self.resolver = dns.resolver.Resolver(configure=False)
            self.resolver.nameservers = [host]
            self.resolver.port = port
            self.resolver.lifetime = QUERY_S

    def refresh(self):
        """Read the zone file; one that cannot be read is an error, not an empty list."""
        if self.zone_file:
            with open(self.zone_file) as file:
                self.zone = dns.zone.from_file(file, self.domain, relativize=False, check_origin=False)

    def ask(self, name, kind):
        """The records of that kind; none if there are none."""
        if self.zone_file:
            found = self.zone.get_rdataset(name, kind) if name.is_subdomain(self.domain) else None
            return list(found or ())
        try:
            return list(self.resolver.resolve(name, kind, search=False))
        except (dns.resolver.NXDOMAIN, dns.resolver.NoAnswer):
            return []


def text_pairs(rdata):
    """A TXT record's pairs: names in lower case, the first of a name counts (RFC 6763, 6.4)."""
    found = {}
    for string in rdata.strings:
        name, _, value = string.decode("utf-8", "replace").partition("=")
        if name and name.lower() not in found:
            found[name.lower()] = value
    return found


def browse(records, services, kinds):
    """All instances of the services: (next hop, state) pairs. An instance that is not well is left out."""
    records.refresh()
    found = []
    for service in services:
        scheme = service.split(".")[0].removeprefix("_")
        for pointer in records.ask(dns.name.from_text(service, records.domain), "PTR"):
            try:
                found.append(_instance(records, pointer.target, scheme, kinds))
            except ValueError as error:
                log("malformed_instance", instance=str(pointer.target), error=str(error))
    return found


def _instance(records, name, scheme, kinds):
    services = records.ask(name, "SRV")
    if not services:
        raise ValueError("no SRV record")
    service = min(services, key=lambda s: (s.priority, -s.weight))
    texts = records.ask(name, "TXT")
    pairs = text_pairs(texts[0]) if texts else {}
    dest = pairs.get("dest", "")
    if not (dest.isascii() and dest.isdigit() and int(dest) <= MAX_DESTINATION):
        raise ValueError(f"TXT: dest must be a number up to {MAX_DESTINATION}, not {dest!r}")
    try:
        rate = float(pairs.get("rate", "1"))
    except ValueError:
        rate = 0.0
    if not 0 < rate < 1e6:
        raise ValueError(f"TXT: rate must be above 0, not {pairs['rate']!r}")
    addresses = records.ask(service.target, "A")
    if not addresses:
        raise ValueError(f"no A record for {service.target}")
    endpoint = Endpoint(
        id=str(name),
        address=f"{addresses[0].address}:{service.port}",
        destination=int(dest),
        scheme="amqp" if scheme == "amqp" else "http",
        route={key: pairs[key] for key in ROUTE if key in pairs},
        weight=rate,
        kind=kinds.get(pairs.get("kind", ""), 0),
    )
    return endpoint, EndpointState.DRAINING if pairs.get("state") == "draining" else EndpointState.READY


class DnsSd:
    """Keeps the core's list of next hops as DNS-SD has it."""

    def __init__(self, engine, records, services, refresh_s):
        self.engine = engine
        self.records = records
        self.services = services
        self.refresh_s = refresh_s
        self.last = None
        self.first_answer = anyio.Event()

    def start(self):
        """Nothing is known before the first answer."""

    def snapshot(self) -> dict:
        """What another process needs beside the list: nothing, it reads the records itself."""
        return {}

    def resume(self, found: dict):
        """Another process has handed over its list."""

    def poll(self):
        """The module asks for the list's changes: they come with the next refresh."""
        self.engine.update_endpoints(UpdateScope.DELTA, [])

    def apply_settings(self, told):
        """The core has other settings: kinds are read by them at the next refresh."""

    def change_address(self, records):
        """The records are to be had elsewhere from now on."""
        self.records = records

    async def run(self):
        """Refresh until cancelled; while the records cannot be had, the list stays as it was."""
        while True:
            try:
                found = await anyio.to_thread.run_sync(
                    browse, self.records, self.services, self.engine.settings.kinds, abandon_on_cancel=True
                )
                if found != self.last:
                    self.last = found
                    # The core marks hops as not usable in place, and the next comparison needs them as read.
                    self.engine.update_endpoints(
                        UpdateScope.FULL, [(replace(endpoint), state) for endpoint, state in found]
                    )
                    log("endpoint_list", scope="FULL", endpoints=len(found))
            except (OSError, ValueError, dns.exception.DNSException) as error:
                log("discovery_failed", error=str(error) or type(error).__name__)
            self.first_answer.set()
            await anyio.sleep(self.refresh_s)


def own_records(file) -> str:
    """The records under which others find this courier, as lines of a zone file."""
    name, domain = file.application.name, file.discovery.domain
    lines = [f"$ORIGIN {domain}", "$TTL 60"]
    for service, address in (("_pinspread._tcp", file.listen.resp), ("_amqp._tcp", file.listen.amqp)):
        if not address:
            continue
        host, port = split_address(address)
        instance = f"{name}.{service}"
        lines += [
            f"_services._dns-sd._udp PTR {service}",
            f"{service} PTR {instance}",
            f"{instance} SRV 0 0 {port} {name}",
            f'{instance} TXT "txtvers=1" "app={name}"',
        ]
    if file.members and file.members.service:
        host, port = split_address(file.members.advertise or file.members.listen)
        service = file.members.service
        instance, target = f"{file.members.id}.{service}", f"{file.members.id}.members"
        lines += [
            f"_services._dns-sd._udp PTR {service}",
            f"{service} PTR {instance}",
            f"{instance} SRV 0 0 {port} {target}",
            f'{instance} TXT "txtvers=1" "fleet={file.members.fleet}"',
            f"{target} A {host}",
        ]
    hosts = {split_address(a)[0] for a in (file.listen.resp, file.listen.amqp) if a}
    lines += [f"{name} A {host}" for host in sorted(hosts)]
    return "\n".join(lines) + "\n"
