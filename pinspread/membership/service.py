"""Membership in a running instance: `swim.SwimMember` with a clock, a UDP socket and a log.

Each turn does what is due, sends the messages, and handles a datagram that is received before something else
is due. Every change of the member table is a log line `member` with the machine's monotonic microseconds
(`mono_us`), by which the lines of several processes on one machine can be sorted.
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

_MAX_WAIT_S = 0.05  # the longest wait for a datagram, so that turns are at least this frequent
_SEED_SEARCH_PERIOD_S = 1.0  # while this member knows no other live member
_LEAVE_TIMEOUT_S = 0.2  # part of the 3.7 s that a process has after SIGTERM


@dataclass(frozen=True)
class MembershipConfig:
    """The settings in the `[members]` table of the configuration file.

    Attributes:
        id: This member's id.
        listen: `host:port` to bind.
        advertise: `host:port` at which other members reach this one.
        seeds: The addresses of members through which to join.
        fleet_key: The key that checksums cover, so that datagrams of another fleet fail the check.
        tuning: The settings of the protocol.
        clock_offset_us: An offset that is added to this member's clock, for tests.
        clock_rate: The rate of this member's clock, relative to the machine's clock, for tests.
        service: The DNS-SD service in which seeds are looked up as well; empty if there is none.
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
    """The background service that makes the instance a member of the fleet.

    Args:
        config: The settings of the configuration file.
        records: The DNS records in which `config.service` is looked up.
        seed: The seed of the random draws, for tests.

    Attributes:
        member: The state of the protocol, with the member table.
        dropped: How many datagrams have been dropped because they could not be decoded.
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
        """Return the member table and this member's health, as the admin server shows them."""
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
        """Run the protocol until cancelled; `open` must have been called before."""
        try:
            async with self._socket, anyio.create_task_group() as tasks:
                if self.config.service and self._records:
                    tasks.start_soon(self._search_seeds, self._records)
                while True:
                    await self._turn()
        finally:
            log("members_ended", id=self.config.id, mono_us=monotonic_us())

    async def announce_departure(self) -> None:
        """Notify the other members, after SIGTERM, that this one leaves."""
        if not self._socket.is_open:
            return
        with anyio.move_on_after(_LEAVE_TIMEOUT_S):
            await self._send(self.member.leave())
        log("members_left", id=self.config.id, mono_us=monotonic_us())

    # --- running --------------------------------------------------------------------------------------

    async def _search_seeds(self, records: Records) -> None:
        """Look up seeds by DNS-SD while no other live member is known."""
        while True:
            if not self.member.members.live_count:
                addresses = await anyio.to_thread.run_sync(
                    find_seeds_or_none, records, self.config.service, abandon_on_cancel=True
                )
                if addresses:
                    self.member.set_seeds(dict.fromkeys([*self.config.seeds, *addresses]))
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
        """Send messages, and log the changes of the table."""
        for address, message in outgoing:
            data = message_codec.encode_message(message, self.config.fleet_key)
            await self._socket.send(data, address)
        for event in self.member.events:
            name, fields = event_fields(event)
            log(name, seer=self.config.id, mono_us=monotonic_us(), **fields)
        self.member.events.clear()


def event_fields(event: Event) -> tuple[str, dict[str, str | int]]:
    """Return the name and the fields of the log line for an event."""
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
