"""Real processes killed under load, on both fronts: for each message, was it taken, called and ended."""

import os
import signal
import subprocess
import sys
from collections import Counter

import anyio
import pytest
from standins import AmqpClient, HttpStandIn, own_address, standing, until
from test_platform import Process

pytestmark = pytest.mark.anyio
SLOTS = 3
AT_ONCE = 2  # a sole partner may hold as many slots as it leaves free
HELD = 40


class Partner(HttpStandIn):
    """Holds its answers until told otherwise; knows which call came in which life of the courier."""

    def __init__(self):
        super().__init__()
        self.life, self.calls, self.held = 1, {}, True

    def reply(self, request, connection, first):
        id_ = request[3]["request-id"]
        self.calls.setdefault(id_, []).append(self.life)
        return anyio.sleep_forever() if self.held else (200, [], b"")


class Resp(Process):
    """The platform's front, with few slots."""

    def start(self):
        self.told["settings"]["specifics"]["callsOut"] = SLOTS
        self.configure()
        super().start()

    async def hand_in(self, n):
        cls = ("payment", "status-update", "booking-change")[n % 3]
        assert await self.client.enqueue(cls, f"m{n}", key=f"{n:x}", for_ms=30_000) == "+OK\r\n"


class Amqp:
    """An application's file with the AMQP front alone, with few slots."""

    def __init__(self, folder, endpoint, _):
        self.address = own_address()
        host, port = endpoint.split(":")
        (folder / "partners.zone").write_text(ZONE.format(host=host, port=port))
        self.file = folder / "booking.toml"
        self.file.write_text(FILE.format(amqp=self.address, folder=folder, slots=SLOTS))
        self.start()

    def start(self):
        command = [sys.executable, "-m", "pinspread", "serve", "--app", str(self.file)]
        self.process = subprocess.Popen(command, env=dict(os.environ), stdout=subprocess.DEVNULL)
        self.client = None

    async def ready(self):
        with anyio.fail_after(10):
            while self.client is None:
                try:
                    self.client = await AmqpClient.open(self.address)
                except OSError:
                    await anyio.sleep(0.02)
        return self

    async def hand_in(self, n):
        await self.client.publish(f"m{n}", ("payment", "status-update")[n % 2], for_ms=30_000, tenant="all")
        method, *_ = await self.client.next()
        assert method.name == "Basic.Ack"

    end = Process.end


ZONE = """\
$ORIGIN partners.example.
$TTL 60
_http._tcp PTR hop._http._tcp
hop._http._tcp SRV 0 0 {port} hop
hop._http._tcp TXT "dest=1"
hop A {host}
"""
FILE = """\
[application]
name = "booking"
[listen]
amqp = "{amqp}"
[journal]
folder = "{folder}/state"
[discovery]
domain = "partners.example."
zone_file = "{folder}/partners.zone"
[limits]
calls_out = {slots}
[[class]]
name = "status-update"
aim_s = 4
deadline_s = 60
effect = "repeatable"
[[class]]
name = "payment"
aim_s = 2
deadline_s = 60
effect = "once"
[[tenant]]
name = "all"
share = 1.0
quota_per_s = 30.0
"""


@pytest.mark.parametrize("front", [Resp, Amqp])
@pytest.mark.parametrize(
    "ends",
    [
        [signal.SIGKILL],
        [signal.SIGTERM],
        [signal.SIGKILL, signal.SIGKILL],
        [signal.SIGTERM, signal.SIGKILL],
        [signal.SIGKILL, signal.SIGTERM],
    ],
    ids=lambda ends: "-".join(e.name for e in ends),
)
async def test_what_a_restart_finds_taken_on_and_untried_is_tried(tmp_path, front, ends):
    partner, silent = Partner(), HttpStandIn(silent_discovery)
    async with standing(partner) as endpoint, standing(silent) as platform:
        process = front(tmp_path, endpoint, platform)
        try:
            await process.ready()
            for n in range(HELD):
                await process.hand_in(n)
            await until(lambda: len(partner.calls) >= AT_ONCE)
            for how in ends:
                await process.end(how)
                partner.life += 1
                process.start()
                await process.ready()
            partner.held = False
            for connection in list(partner.open):  # what hung from this life on ends as a reset
                connection.shutdown()
            tried_before = {id_ for id_, lives in partner.calls.items() if lives[0] < partner.life}
            untried = {f"m{n}" for n in range(HELD)} - tried_before
            assert len(untried) >= HELD - SLOTS * len(ends) - SLOTS
            await until(lambda: untried <= partner.calls.keys(), 20)
            payments = Counter(
                i for i, lives in partner.calls.items() if int(i[1:]) % PAYS[front] == 0 for _ in lives
            )
            assert not [i for i, calls in payments.items() if calls > 1]  # none that may have run went again
        finally:
            process.process.kill()  # a test that fails leaves nothing running
            process.process.wait()


PAYS = {Resp: 3, Amqp: 2}  # every so many messages is a payment


def silent_discovery(request):
    """Discovery is down; notices are answered all the same."""
    return (204, [], b"") if request[2] == "/v2/finals" else anyio.sleep_forever()
