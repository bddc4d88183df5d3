"""Membership in a running instance: the clock, the UDP socket and the log around `swim.SwimMember`.

One turn does what is due, sends, and handles what is received meanwhile. Every change of the member table is
a log line `member` with the machine's monotonic microseconds (`mono_us`), so that lines of several processes
on one machine can be put in one order.
"""

import random
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.to_thread

from pinspread.core.log import log
from pinspread.membership import message_codec
from pinspread.membership.background import IndependentService
from pinspread.membership.clock import monotonic_us
from pinspread.membership.codec import DatagramError
from pinspread.membership.config import SwimConfig
from pinspread.membership.datagram_socket import Datagram, DatagramSocket
from pinspread.membership.events import Event, MemberChanged
from pinspread.membership.messages import Outgoing
from pinspread.membership.seeds import Records, find_seeds_or_none
from pinspread.membership.swim import SwimMember

_MAX_WAIT_S = 0.05  # a turn comes at least this often, whatever is due
_SEED_SEARCH_PERIOD_S = 1.0  # while this member knows no other
_LEAVE_TIMEOUT_S = 0.2  # of the 3.7 s that SIGTERM leaves


@dataclass(frozen=True)
class MembershipConfig:
    """What the deploy file's `[members]` table says.

    Attributes:
        id: This member's id.
        listen: `host:port` that is bound.
        advertise: `host:port` at which other members reach this one.
        seeds: Addresses of members to join by.
        fleet_key: Datagrams of another fleet fail their checksum.
        tuning: The settings of the protocol.
        clock_offset_us: Added to this member's clock, for tests.
        clock_rate: How fast this member's clock runs, for tests.
        service: The DNS-SD service under which seeds are looked for as well, if any.
    """

    id: str
    listen: str
    advertise: str
    seeds: tuple[str, ...]
    fleet_key: bytes
    tuning: SwimConfig
    clock_offset_us: int = 0
    clock_rate: float = 1.0
    service: str = ""


class MembershipService(IndependentService):
    """A background service of the instance: its member of the fleet.

    Args:
        config: What the deploy file says.
        records: The DNS records in which `config.service` is looked for.
        seed: Of the random draws, for tests.

    Attributes:
        member: The state of the protocol, with the member table.
        dropped: How many datagrams were not accepted.
    """

    name = "members"

    def __init__(self, config: MembershipConfig, records: Records | None = None, seed: int | None = None):
        self.config = config
        self.member = SwimMember(config.id, config.advertise, config.tuning, random.Random(seed), self.now())
        self.member.set_seeds(config.seeds)
        self.dropped = 0
        self._records = records
        self._socket = DatagramSocket(
            config.listen, send_failed="member_send_failed", receive_failed="member_receive_failed"
        )

    def now(self) -> int:
        """Return this member's monotonic time in microseconds, by its configured offset and rate."""
        return self.config.clock_offset_us + int(monotonic_us() * self.config.clock_rate)

    def view(self) -> dict[str, Any]:
        """Return the member table and this member's health, as operators see them."""
        member = self.member
        return {
            "id": member.id,
            "incarnation": member.incarnation,
            "health": member.health,
            "members": member.view(),
        }

    # --- life cycle -----------------------------------------------------------------------------------

    async def open(self) -> None:
        """Bind the socket.

        Raises:
            OSError: The address cannot be bound.
        """
        await self._socket.open()
        log("members_up", id=self.config.id, listen=self.config.listen, advertise=self.config.advertise)

    async def run(self) -> None:
        """Take part until cancelled; `open` comes first."""
        try:
            async with self._socket, anyio.create_task_group() as tasks:
                if self.config.service and self._records:
                    tasks.start_soon(self._search_seeds, self._records)
                while True:
                    await self._turn()
        finally:
            log("members_ended", id=self.config.id, mono_us=monotonic_us())

    async def announce_departure(self) -> None:
        """Notify the other members that this one leaves, as SIGTERM asks."""
        if not self._socket.is_open:
            return
        with anyio.move_on_after(_LEAVE_TIMEOUT_S):
            await self._send(self.member.leave())
        log("members_left", id=self.config.id, mono_us=monotonic_us())

    # --- running --------------------------------------------------------------------------------------

    async def _search_seeds(self, records: Records) -> None:
        """Look for seeds by DNS-SD while no other member is known."""
        while True:
            if not self.member.members.live_count:
                found = await anyio.to_thread.run_sync(
                    find_seeds_or_none, records, self.config.service, abandon_on_cancel=True
                )
                if found:
                    self.member.set_seeds(dict.fromkeys([*self.config.seeds, *found]))
            await anyio.sleep(_SEED_SEARCH_PERIOD_S)

    async def _turn(self) -> None:
        """Do what is due, and handle a datagram if one is received before something else is due."""
        now_us = self.now()
        await self._send(self.member.tick(now_us))
        wait_s = min(_MAX_WAIT_S, max(0, self.member.due_us() - now_us) / 1e6)
        with anyio.move_on_after(wait_s):
            datagram = await self._socket.receive()
            if datagram:
                await self._handle_datagram(datagram)

    async def _handle_datagram(self, datagram: Datagram) -> None:
        now_us = self.now()
        try:
            message = message_codec.decode_message(datagram.data, self.config.fleet_key)
        except DatagramError as error:
            self.dropped += 1
            log("member_dropped", source=datagram.source, why=str(error), mono_us=monotonic_us())
            return
        await self._send(self.member.receive(message, now_us))

    async def _send(self, outgoing: Outgoing) -> None:
        """Send messages, and log what has changed in the table."""
        for address, message in outgoing:
            data = message_codec.encode_message(message, self.config.fleet_key)
            await self._socket.send(data, address)
        for event in self.member.events:
            name, fields = event_fields(event)
            log(name, seer=self.config.id, mono_us=monotonic_us(), **fields)
        self.member.events.clear()


def event_fields(event: Event) -> tuple[str, dict[str, str | int]]:
    """Return the name and the fields under which an event is logged."""
    if isinstance(event, MemberChanged):
        return "member", {
            "id": event.id,
            "state": event.state.value,
            "incarnation": event.incarnation,
            "by": event.reported_by,
        }
    return "refuted", {
        "of": event.claimed_state.value,
        "by": event.reported_by,
        "incarnation": event.incarnation,
    }
