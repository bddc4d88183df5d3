"""Membership on a UDP socket: the clock, the datagrams and the log around `swim.SwimMember`.

One turn: read the monotonic clock once (plus the configured offset), take what came, do what is due,
send. Every change of the table is a log line `member` with the machine's monotonic microseconds (`mono_us`),
so that lines of several processes on one machine can be put in one order.
"""

import random
from dataclasses import dataclass

import anyio
import anyio.to_thread

from pinspread.core.log import log
from pinspread.membership import codec as wire
from pinspread.membership import seeds, swim
from pinspread.membership.clock import monotonic_us
from pinspread.sockets import split_address

MOST_WAIT_S = 0.05  # a turn at least this often, whatever is due
SEEDS_S = 1.0  # between questions for seeds by DNS-SD, while this member knows nobody
LEAVE_S = 0.2  # what a leave may take of the 3.7 s of SIGTERM


@dataclass(frozen=True)
class MembershipConfig:
    """What the file's `[members]` says: `listen` is bound, `advertise` is where others reach us."""

    id: str
    listen: str
    advertise: str
    seeds: tuple
    fleet_key: bytes
    tuning: swim.SwimConfig
    clock_offset_us: int = 0
    clock_rate: float = 1.0  # for the fault stage: a clock that runs fast or slow
    service: str = ""  # seeds are also looked for under this DNS-SD service


class MembershipService:
    """A member of the fleet while the courier runs; `view()` for the door."""

    name = "members"

    def __init__(self, config: MembershipConfig, records=None, seed: int | None = None):
        self.config = config
        self.records = records  # where `config.service` is asked for, as config.dnssd.Records
        self.member = swim.SwimMember(
            config.id, config.advertise, config.seeds, config.tuning, random.Random(seed), self.now(), 0
        )
        self.sock = None
        self.sending = anyio.Lock()
        self.dropped = 0

    def now(self) -> int:
        """Monotonic microseconds as this member sees them, offset and fast or slow as configured."""
        return self.config.clock_offset_us + int(monotonic_us() * self.config.clock_rate)

    def attach(self, courier):
        """It needs nothing of the core."""

    async def before_recovery(self):
        """Nothing that is owed depends on it."""

    async def close(self):
        """Likewise."""

    def view(self) -> dict:
        """The table and this member's health."""
        m = self.member
        return {"id": m.id, "incarnation": m.incarnation, "health": m.health, "members": m.view()}

    async def open(self):
        """Bind the socket; OSError if the address cannot be had."""
        host, port = split_address(self.config.listen)
        self.sock = await anyio.create_udp_socket(local_host=host, local_port=port)
        log("members_up", id=self.config.id, listen=self.config.listen, advertise=self.config.advertise)

    async def run(self):
        """Take part until cancelled; `open` first."""
        try:
            async with self.sock, anyio.create_task_group() as tasks:
                if self.config.service:
                    tasks.start_soon(self._look_for_seeds)
                await self._turns()
        finally:
            log("members_ended", id=self.config.id, mono_us=monotonic_us())

    async def _look_for_seeds(self):
        """While nobody is known, ask DNS-SD who could be."""
        while True:
            if not self.member.live:
                found = await anyio.to_thread.run_sync(
                    seeds.found_or_none, self.records, self.config.service, abandon_on_cancel=True
                )
                if found:
                    known = [*self.config.seeds, *found]
                    self.member.seeds = [a for a in dict.fromkeys(known) if a != self.config.advertise]
            await anyio.sleep(SEEDS_S)

    async def _turns(self):
        while True:
            now = self.now()
            await self._send(self.member.tick(now), now)
            wait_s = min(MOST_WAIT_S, max(0, self.member.due_us() - now) / 1e6)
            with anyio.move_on_after(wait_s):
                try:
                    data, (source, _) = await self.sock.receive()
                except OSError as error:
                    # Danger: a refusal that the kernel tells of an earlier datagram would end membership.
                    log("member_unheard", error=str(error), mono_us=monotonic_us())
                    continue
                now = self.now()
                try:
                    message = wire.decode_message(data, self.config.fleet_key)
                except wire.DatagramError as why:
                    self.dropped += 1
                    log("member_dropped", source=source, why=str(why), mono_us=monotonic_us())
                    continue
                await self._send(self.member.heard(message, now), now)

    async def announce_departure(self):
        """Say that we leave, as SIGTERM asks."""
        if self.sock is None:
            return
        now = self.now()
        with anyio.move_on_after(LEAVE_S):
            await self._send(self.member.leave(), now)
        log("members_left", id=self.config.id, mono_us=monotonic_us())

    async def _send(self, out, now):
        for address, message in out:
            host, port = split_address(address)
            try:
                # Danger: the socket takes one sender at a time, and a leave comes while the turns go on.
                async with self.sending:
                    await self.sock.sendto(wire.encode(message, self.config.fleet_key), host, port)
            except (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError) as error:
                # Danger: membership that cannot send must never end the courier that serves.
                log("member_unsent", to=address, error=repr(error), mono_us=monotonic_us())
        for event in self.member.events:
            log(event.pop("event"), seer=self.config.id, mono_us=monotonic_us(), **event)
        self.member.events.clear()
