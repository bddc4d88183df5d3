"""Real processes killed under load, on both fronts: no message is lost and no payment sent twice."""

import os
import signal
import subprocess
import sys
from collections import Counter

import anyio
import pytest
from platform_helpers import CourierProcess
from standins import AmqpClient, HttpStandIn, own_address, serve_on_loopback, wait_until

pytestmark = pytest.mark.anyio
SLOTS = 3
AT_ONCE = 2  # a sole destination may use at most as many slots as it leaves free
MESSAGE_COUNT = 40


class HoldingEndpoint(HttpStandIn):
    """Withholds its answers until `withholding` is cleared; records which courier process made each call."""

    def __init__(self):
        super().__init__()
        self.process_number, self.calls, self.withholding = 1, {}, True

    def reply(self, request, connection, first):
        id_ = request[3]["request-id"]
        self.calls.setdefault(id_, []).append(self.process_number)
        return anyio.sleep_forever() if self.withholding else (200, [], b"")


class Resp(CourierProcess):
    """A courier with the RESP2 front, with few slots."""

    def start(self):
        self.configuration["settings"]["specifics"]["callsOut"] = SLOTS
        self.configure()
        super().start()

    async def submit(self, n):
        cls = ("payment", "status-update", "booking-change")[n % 3]
        assert await self.client.enqueue(cls, f"m{n}", key=f"{n:x}", for_ms=30_000) == "+OK\r\n"


class Amqp:
    """A courier with only the AMQP front, set up by an application's file, with few slots."""

    def __init__(self, folder, endpoint_address, _):
        self.address = own_address()
        host, port = endpoint_address.split(":")
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

    async def submit(self, n):
        await self.client.publish(f"m{n}", ("payment", "status-update")[n % 2], for_ms=30_000, tenant="all")
        method, *_ = await self.client.next()
        assert method.name == "Basic.Ack"

    end = CourierProcess.end


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
async def test_accepted_messages_without_an_attempt_are_sent_after_a_restart(tmp_path, front, ends):
    endpoint, silent = HoldingEndpoint(), HttpStandIn(silent_discovery)
    async with serve_on_loopback(endpoint) as endpoint_address, serve_on_loopback(silent) as platform:
        process = front(tmp_path, endpoint_address, platform)
        try:
            await process.ready()
            for n in range(MESSAGE_COUNT):
                await process.submit(n)
            await wait_until(lambda: len(endpoint.calls) >= AT_ONCE)
            for signal_number in ends:
                await process.end(signal_number)
                endpoint.process_number += 1
                process.start()
                await process.ready()
            endpoint.withholding = False
            for connection in list(endpoint.open):  # calls without an answer so far end as a reset
                connection.shutdown()
            attempted = {id_ for id_, runs in endpoint.calls.items() if runs[0] < endpoint.process_number}
            unattempted = {f"m{n}" for n in range(MESSAGE_COUNT)} - attempted
            assert len(unattempted) >= MESSAGE_COUNT - SLOTS * len(ends) - SLOTS
            await wait_until(lambda: unattempted <= endpoint.calls.keys(), 20)
            payments = Counter(
                i for i, runs in endpoint.calls.items() if int(i[1:]) % PAY_EVERY[front] == 0 for _ in runs
            )
            assert not [i for i, calls in payments.items() if calls > 1]  # none that may have run is repeated
        finally:
            process.process.kill()  # so that a failed test leaves no process running
            process.process.wait()


PAY_EVERY = {Resp: 3, Amqp: 2}  # one in this many messages is a payment


def silent_discovery(request):
    """Discovery does not answer; notifications are acknowledged all the same."""
    return (204, [], b"") if request[2] == "/v2/finals" else anyio.sleep_forever()
