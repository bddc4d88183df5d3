"""SWIM membership with the Lifeguard refinements: the protocol's decisions, with no I/O and no clock.

A `SwimMember` is called when time has passed (`tick`) and when a message has been received (`receive`), and
returns the messages to send, as pairs of an address and a message. `events` collects changes of the table for
the log. Times are whole microseconds of the member's monotonic clock.

It consists of `cluster_state` (the member's view of the cluster), `failure_detector` (the probes) and
`table_sync` (the exchange of tables). `cluster_state` uses `members` (the member table), `suspicion` (the
time-out of suspected members) and `gossip` (the updates that are piggybacked on messages).

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
"""

import random
from collections.abc import Iterable, Mapping
from typing import Any

from pinspread.membership.cluster_state import ClusterState
from pinspread.membership.config import SwimConfig
from pinspread.membership.events import Event
from pinspread.membership.failure_detector import FailureDetector, Probe
from pinspread.membership.members import LIVE_STATES, MemberRecord, MemberState, MemberTable
from pinspread.membership.messages import (
    Ack,
    Leave,
    Message,
    MessageHeader,
    Nack,
    Outgoing,
    Ping,
    PingRequest,
    Sync,
    Update,
)
from pinspread.membership.table_sync import TableSync

__all__ = ["SwimConfig", "SwimMember"]


class SwimMember:
    """One member's view of the cluster.

    Args:
        id_: This member's id.
        address: `host:port` at which it receives datagrams.
        config: The settings of the protocol.
        rng: The source of all random draws.
        now_us: The current time.

    Attributes:
        cluster: This member's view of the cluster.
        detector: The open probes, and this member's local health.
        table_sync: The exchange of tables.
        next_probe_us: When the next probe is due.
        counts: How many messages were sent and received.
    """

    def __init__(
        self,
        id_: str,
        address: str,
        config: SwimConfig | None = None,
        rng: random.Random | None = None,
        now_us: int = 0,
    ):
        self.id = id_
        self.address = address
        self.config = config or SwimConfig()
        self.rng = rng or random.Random()
        local = MemberRecord(id_, address, 0, MemberState.ALIVE, now_us)
        self.cluster = ClusterState(local, self.config, self.rng)
        self.detector = FailureDetector(self.config)
        self.table_sync = TableSync(self.cluster.members, address, self.config, self.rng, now_us)
        self.next_probe_us = now_us
        self.counts = {"sent": 0, "received": 0}

    # --- what is known --------------------------------------------------------------------------------

    @property
    def members(self) -> MemberTable:
        """The member table."""
        return self.cluster.members

    @property
    def table(self) -> Mapping[str, MemberRecord]:
        """The record of each member by its id, this one included."""
        return self.members.records

    @property
    def incarnation(self) -> int:
        """This member's own incarnation."""
        return self.cluster.incarnation

    @property
    def health(self) -> int:
        """Lifeguard's local health: 0 is healthy, a higher value is worse."""
        return self.detector.health

    @property
    def events(self) -> list[Event]:
        """The changes since the list was last cleared."""
        return self.cluster.events

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of members through which to join; this member's own address is left out."""
        self.table_sync.set_seeds(addresses)

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members in any of the states."""
        return self.members.others(*states)

    def view(self) -> list[dict[str, Any]]:
        """Return the table as the admin server shows it, in the order of ids."""
        return [record.to_json() for record in sorted(self.table.values(), key=lambda record: record.id)]

    # --- time -----------------------------------------------------------------------------------------

    def due_us(self) -> int:
        """Return when `tick` has something to do next."""
        return min(
            self.next_probe_us,
            self.table_sync.next_us,
            *self.detector.due_times_us(),
            *self.cluster.suspicion_deadlines_us(),
        )

    def tick(self, now_us: int) -> Outgoing:
        """Do what is due; return the messages to send."""
        outgoing = self._check_probes(now_us)
        outgoing += self._send_due_nacks(now_us)
        self.cluster.expire_suspicions(now_us)
        if now_us >= self.next_probe_us:
            outgoing += self._probe(now_us)
        if now_us >= self.table_sync.next_us:
            outgoing += self._send_table(now_us)
        self.cluster.remove_down_members(now_us)
        self.counts["sent"] += len(outgoing)
        return outgoing

    # --- probes ---------------------------------------------------------------------------------------

    def _check_probes(self, now_us: int) -> Outgoing:
        """End finished probes, and request indirect probes where the direct one was not answered in time."""
        outgoing: Outgoing = []
        for sequence, probe in list(self.detector.probes.items()):
            if probe.acknowledged:
                del self.detector.probes[sequence]
            elif now_us >= probe.ends_us:
                del self.detector.probes[sequence]
                self.probe_failed(probe, now_us)
            elif not probe.indirect_requested and now_us >= probe.direct_until_us:
                outgoing += self._request_indirect_probes(probe)
        return outgoing

    def _send_due_nacks(self, now_us: int) -> Outgoing:
        """Answer requests for indirect probes by a nack if the target has not acknowledged in time."""
        return [
            (relay.requester_address, Nack(**self._header(), sequence=relay.sequence))
            for relay in self.detector.take_due_nacks(now_us)
        ]

    def _probe(self, now_us: int) -> Outgoing:
        """Probe the next member of the round."""
        self.next_probe_us = now_us + self.detector.scaled_us(self.config.period_us)
        if not self.members.live_count:
            return []
        target = self.members.next_probe_target()
        probe = self.detector.begin_probe(target.id, now_us)
        ping = Ping(**self._header(receiver_id=target.id), sequence=probe.sequence, target=target.id)
        return [(target.address, ping)]

    def _request_indirect_probes(self, probe: Probe) -> Outgoing:
        probe.indirect_requested = True
        target = self.table.get(probe.target)
        helpers = self.members.pick(self.config.indirect_probes, avoid=(probe.target,))
        if not target or not helpers:
            return []
        probe.indirect_count = len(helpers)
        request = PingRequest(
            **self._header(), sequence=probe.sequence, target=target.id, target_address=target.address
        )
        return [(helper.address, request) for helper in helpers]

    def probe_failed(self, probe: Probe, now_us: int) -> None:
        """Suspect a member that has answered a probe neither directly nor indirectly."""
        self.detector.probe_failed(probe)
        self.cluster.suspect(probe.target, now_us)

    # --- exchange of tables ---------------------------------------------------------------------------

    def _send_table(self, now_us: int) -> Outgoing:
        """Send the table to a member, or to the seeds while no other is live; they answer with their own."""
        addresses = self.table_sync.begin(now_us)
        return [(address, self._sync(self.table_sync.sample(), reply=True)) for address in addresses]

    def _answer_sync(self, message: Sync, now_us: int, is_joining: bool) -> Outgoing:
        for row in message.table:
            self.apply(row, now_us, from_table=True)
        if not message.reply:
            return []
        chunks = self.table_sync.chunks() if is_joining else [self.table_sync.sample()]
        return [(message.sender_address, self._sync(chunk, reply=False)) for chunk in chunks]

    def _sync(self, records: Iterable[MemberRecord], reply: bool) -> Sync:
        table = tuple(Update.from_record(record, self.id) for record in records)
        return Sync(**self._header(), table=table, reply=reply)

    # --- messages -------------------------------------------------------------------------------------

    def _header(self, receiver_id: str | None = None) -> MessageHeader:
        """Return the fields that all messages have; updates about the receiver come before all others."""
        return {
            "sender": self.id,
            "sender_address": self.address,
            "incarnation": self.incarnation,
            "updates": self.cluster.take_updates(receiver_id),
        }

    def receive(self, message: Message, now_us: int) -> Outgoing:
        """Handle a message from another member; return the messages to send in response."""
        self.counts["received"] += 1
        if message.sender == self.id:
            return []
        is_joining = message.sender not in self.table
        down_count = len(self.members.down)
        self._apply_claims(message, now_us)
        outgoing = self._answer(message, now_us, is_joining)
        if len(self.members.down) < down_count:
            self.table_sync.hasten(now_us)
        self.counts["sent"] += len(outgoing)
        return outgoing

    def _apply_claims(self, message: Message, now_us: int) -> None:
        """Apply the claim that the sender is alive, and the updates that are piggybacked on the message."""
        sender = message.sender
        sender_alive = Update(
            sender, message.sender_address, message.incarnation, MemberState.ALIVE, reported_by=sender
        )
        for update in (sender_alive, *message.updates):
            self.apply(update, now_us)

    def apply(self, update: Update, now_us: int, from_table: bool = False) -> None:
        """Apply a claim about a member, by SWIM's order of precedence.

        A claim that this member itself is not alive is refuted.

        Args:
            update: The claim.
            now_us: The current time.
            from_table: Whether it is a row of another member's table, which does not confirm a suspicion.
        """
        if update.id != self.id:
            self.cluster.apply(update, now_us, from_table)
        elif self.cluster.refute(update):
            self.detector.adjust_health(1)

    def _answer(self, message: Message, now_us: int, is_joining: bool) -> Outgoing:
        address = message.sender_address
        match message:
            case Ping() if message.target == self.id:
                return [(address, Ack(**self._header(receiver_id=message.sender), sequence=message.sequence))]
            case Ack():
                relay = self.detector.acknowledge(message.sequence, message.sender)
                if relay:
                    return [(relay.requester_address, Ack(**self._header(), sequence=relay.sequence))]
            case Nack():
                self.detector.count_nack(message.sequence)
            case PingRequest():
                sequence = self.detector.begin_relay(address, message.sequence, now_us)
                ping = Ping(**self._header(), sequence=sequence, target=message.target)
                return [(message.target_address, ping)]
            case Sync():
                return self._answer_sync(message, now_us, is_joining)
        return []

    def leave(self) -> Outgoing:
        """Leave the cluster; return the messages that announce it to every live member."""
        departure = self.cluster.leave()
        message = Leave(
            sender=self.id,
            sender_address=self.address,
            incarnation=self.incarnation,
            updates=(departure,),
        )
        return [(record.address, message) for record in self.others(*LIVE_STATES)]
