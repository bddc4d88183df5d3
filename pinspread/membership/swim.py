"""SWIM membership with the Lifeguard refinements: the decisions alone, with no I/O and no clock.

A `SwimMember` is called when time has passed (`tick`) and when a message has been received (`receive`), and
returns what to send, as pairs of an address and a message. `events` collects changes of the table for the
log. Times are whole microseconds of the member's monotonic clock.

Its parts: `members` has the table, `failure_detector` the probes, `suspicion` the time-out of suspected
members, `gossip` what rides on messages.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from pinspread.membership.config import SwimConfig
from pinspread.membership.failure_detector import FailureDetector, Probe
from pinspread.membership.gossip import GossipQueue
from pinspread.membership.members import (
    LIVE_STATES,
    PRECEDENCE,
    MemberRecord,
    MemberState,
    MemberTable,
)
from pinspread.membership.messages import (
    Ack,
    Leave,
    Message,
    Nack,
    Outgoing,
    Ping,
    PingRequest,
    Sync,
    Update,
)
from pinspread.membership.suspicion import Suspicion, suspicion_timeout_us

__all__ = ["MemberChanged", "RumorRefuted", "SwimConfig", "SwimMember"]

MAX_TABLE_ROWS = 400  # in one message: some 50 bytes a row, so that it fits a datagram
_SYNC_WITH_DEAD_PROBABILITY = 0.5  # where there are dead members


@dataclass(frozen=True)
class MemberChanged:
    """The state of a member has changed in this member's table; `reported_by` has caused it."""

    id: str
    state: MemberState
    incarnation: int
    reported_by: str


@dataclass(frozen=True)
class RumorRefuted:
    """This member has refuted a claim that it is in `claimed_state`, by a higher incarnation."""

    claimed_state: MemberState
    reported_by: str
    incarnation: int


class SwimMember:
    """One member's view of the cluster.

    Args:
        id_: This member's id.
        address: `host:port` at which it receives datagrams.
        config: The settings of the protocol.
        rng: The source of all random draws.
        now_us: The time.

    Attributes:
        members: The member table.
        seeds: Addresses of members to join by.
        events: What has changed since the events were last cleared.
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
        self.seeds: list[str] = []
        self.config = config or SwimConfig()
        self.incarnation = 0
        self.rng = rng or random.Random()
        own = MemberRecord(id_, address, self.incarnation, MemberState.ALIVE, now_us)
        self.members = MemberTable(own, self.rng)
        self.detector = FailureDetector(self.config)
        self.gossip = GossipQueue(self.config.gossip_lambda)
        self.suspicions: dict[str, Suspicion] = {}
        self.next_probe_us = now_us
        self.next_sync_us = now_us
        self.events: list[MemberChanged | RumorRefuted] = []
        self.counts = {"sent": 0, "received": 0}
        self._leaving = False

    # --- the table ----------------------------------------------------------------------------------

    @property
    def table(self) -> Mapping[str, MemberRecord]:
        """The record of each member by its id, this one included."""
        return self.members.records

    @property
    def health(self) -> int:
        """Lifeguard's local health: 0 is well."""
        return self.detector.health

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds; this member's own address is left out."""
        self.seeds = [address for address in addresses if address != self.address]

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members in any of the states."""
        return self.members.others(*states)

    def view(self) -> list[dict[str, Any]]:
        """Return the table as operators see it, by id."""
        return [record.to_json() for record in sorted(self.table.values(), key=lambda record: record.id)]

    # --- time ---------------------------------------------------------------------------------------

    def due_us(self) -> int:
        """Return when `tick` has something to do next."""
        times = [self.next_probe_us, self.next_sync_us, *self.detector.due_times_us()]
        times += [self._suspicion_ends_us(suspicion) for suspicion in self.suspicions.values()]
        return min(times)

    def tick(self, now_us: int) -> Outgoing:
        """Do what is due by now; return the messages to send."""
        outgoing = self._check_probes(now_us)
        for relay in self.detector.take_due_nacks(now_us):
            nack = Nack(**self._header(), sequence=relay.sequence)
            outgoing.append((relay.requester_address, nack))
        self._check_suspicions(now_us)
        if now_us >= self.next_probe_us:
            self.next_probe_us = now_us + self.detector.scaled_us(self.config.period_us)
            outgoing += self._probe(now_us)
        if now_us >= self.next_sync_us:
            is_alone = not self.members.live_count
            self.next_sync_us = now_us + (self.config.period_us if is_alone else self.config.sync_us)
            outgoing += self._sync()
        self._forget(now_us)
        self.counts["sent"] += len(outgoing)
        return outgoing

    def _check_probes(self, now_us: int) -> Outgoing:
        """End the probes that are over, and ask others where a direct one was not answered."""
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

    def _check_suspicions(self, now_us: int) -> None:
        """Take members for dead that were suspected for long enough."""
        for id_, suspicion in list(self.suspicions.items()):
            if now_us >= self._suspicion_ends_us(suspicion):
                record = self.table[id_]
                self._change(record, MemberState.DEAD, record.incarnation, now_us, self.id)

    def _suspicion_ends_us(self, suspicion: Suspicion) -> int:
        confirmations = len(suspicion.confirmers)
        return suspicion.began_us + suspicion_timeout_us(self.config, self.members.size, confirmations)

    def _forget(self, now_us: int) -> None:
        """Forget members that have been down for long."""
        forget_us = self.config.forget_us
        ids = [id_ for id_ in self.members.down if now_us - self.table[id_].since_us > forget_us]
        self.members.remove(ids)
        for id_ in ids:
            self.gossip.discard(id_)

    # --- probes -------------------------------------------------------------------------------------

    def _probe(self, now_us: int) -> Outgoing:
        """Probe the next member of the round."""
        if not self.members.live_count:
            return []
        target = self.members.next_probe_target()
        probe = self.detector.begin_probe(target.id, now_us)
        ping = Ping(**self._header(first=target.id), sequence=probe.sequence, target=target.id)
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
        """Suspect a member that has not answered a probe, directly or indirectly."""
        self.detector.probe_failed(probe)
        record = self.table.get(probe.target)
        if record and record.state == MemberState.ALIVE:
            self._change(record, MemberState.SUSPECT, record.incarnation, now_us, self.id)
        elif record and record.state == MemberState.SUSPECT:
            self._spread(record, self.id)  # an independent confirmation for the others

    # --- exchange of tables -------------------------------------------------------------------------

    def _sync(self) -> Outgoing:
        """Send the table to one member; to the seeds while nobody is known; sometimes to a dead member."""
        addresses = self._sync_addresses()
        return [(address, self._sync_message(self._table_sample(), reply=True)) for address in addresses]

    def _sync_addresses(self) -> list[str]:
        is_alone = not self.members.live_count
        if is_alone and self.seeds:
            return self.seeds
        dead = [id_ for id_ in self.members.down if self.table[id_].state == MemberState.DEAD]
        if dead and (is_alone or self.rng.random() < _SYNC_WITH_DEAD_PROBABILITY):
            return [self.table[self.rng.choice(dead)].address]  # how the sides of a healed partition meet
        if is_alone:
            return []
        return [record.address for record in self.members.pick(1, states=LIVE_STATES)]

    def _sync_message(self, records: Iterable[MemberRecord], reply: bool) -> Sync:
        table = tuple(Update.from_record(record, self.id) for record in records)
        return Sync(**self._header(), table=table, reply=reply)

    def _table_sample(self) -> list[MemberRecord]:
        """Return the table, or as much of it as fits a message."""
        return self.members.sample(MAX_TABLE_ROWS)

    def _table_chunks(self) -> list[list[MemberRecord]]:
        """Return the complete table in parts that fit a message each, for a member that has just joined."""
        records = list(self.table.values())
        return [records[n : n + MAX_TABLE_ROWS] for n in range(0, len(records), MAX_TABLE_ROWS)]

    # --- messages -----------------------------------------------------------------------------------

    def _header(self, first: str | None = None) -> dict[str, Any]:
        """Return what all messages hold; updates about the member `first` come before all others."""
        return {
            "sender": self.id,
            "sender_address": self.address,
            "incarnation": self.incarnation,
            "updates": self.take_updates(first),
        }

    def take_updates(self, first: str | None = None) -> tuple[Update, ...]:
        """Return the updates for one message, which count as sent."""
        updates = []
        suspicion = self.suspicions.get(first) if first is not None else None
        if first is not None and suspicion and first not in self.gossip:
            # Lifeguard's buddy system: a suspected member is informed in every message to it, so that it can
            # refute even though the update has been sent its number of times, none of them to it.
            updates.append(Update.from_record(self.table[first], suspicion.raised_by))
        return (*updates, *self.gossip.take(first))

    def receive(self, message: Message, now_us: int) -> Outgoing:
        """Handle a message from another member; return the messages to send in answer."""
        self.counts["received"] += 1
        if message.sender == self.id:
            return []
        known = self.table.get(message.sender)
        if known and not known.is_live and message.incarnation <= known.incarnation:
            self._spread(known, self.id)  # so that it is informed of its own end at once, and refutes
        self._apply_message(message, now_us)
        outgoing = self._answer(message, now_us, joins=known is None)
        self.counts["sent"] += len(outgoing)
        return outgoing

    def _apply_message(self, message: Message, now_us: int) -> None:
        sender = message.sender
        own_claim = Update(
            sender, message.sender_address, message.incarnation, MemberState.ALIVE, reported_by=sender
        )
        self.apply(own_claim, now_us)
        for update in message.updates:
            self.apply(update, now_us)

    def _answer(self, message: Message, now_us: int, joins: bool) -> Outgoing:
        address = message.sender_address
        match message:
            case Ping() if message.target == self.id:
                return [(address, Ack(**self._header(first=message.sender), sequence=message.sequence))]
            case Ack():
                relay = self.detector.acknowledge(message.sequence)
                if relay:
                    return [(relay.requester_address, Ack(**self._header(), sequence=relay.sequence))]
            case Nack():
                self.detector.count_nack(message.sequence)
            case PingRequest():
                sequence = self.detector.begin_relay(address, message.sequence, now_us)
                ping = Ping(**self._header(), sequence=sequence, target=message.target)
                return [(message.target_address, ping)]
            case Sync():
                return self._answer_sync(message, now_us, joins)
        return []

    def _answer_sync(self, message: Sync, now_us: int, joins: bool) -> Outgoing:
        for row in message.table:
            self.apply(row, now_us, from_table=True)
        if not message.reply:
            return []
        chunks = self._table_chunks() if joins else [self._table_sample()]
        return [(message.sender_address, self._sync_message(chunk, reply=False)) for chunk in chunks]

    # --- claims about members -----------------------------------------------------------------------

    def apply(self, update: Update, now_us: int, from_table: bool = False) -> None:
        """Apply a claim about a member, by SWIM's order of precedence.

        Args:
            update: The claim.
            now_us: The time.
            from_table: Whether it is a row of another member's table, which confirms no suspicion.
        """
        if update.id == self.id:
            self._refute(update)
            return
        record = self.table.get(update.id)
        if record is None:
            if update.state in LIVE_STATES:
                new = MemberRecord(update.id, update.address, update.incarnation, MemberState.DEAD, now_us)
                self._change(new, update.state, update.incarnation, now_us, update.reported_by)
        elif _prevails(update, record):
            moved = replace(record, address=update.address)
            self._change(moved, update.state, update.incarnation, now_us, update.reported_by)
        elif not from_table and _agrees_on_suspicion(update, record):
            self._confirm(update)

    def _refute(self, update: Update) -> None:
        """Answer a claim that this member is not alive by a higher incarnation, which wins over any claim."""
        if update.state == MemberState.ALIVE or update.incarnation < self.incarnation or self._leaving:
            return
        self.incarnation = update.incarnation + 1
        own = replace(self.table[self.id], incarnation=self.incarnation)
        self.members.put_own(own)
        self.detector.adjust_health(1)
        self._spread(own, self.id)
        self.events.append(RumorRefuted(update.state, update.reported_by, self.incarnation))

    def _confirm(self, update: Update) -> None:
        """Count an independent confirmation of a suspicion, which shortens its time-out."""
        suspicion = self.suspicions.get(update.id)
        if suspicion is None or update.reported_by in (suspicion.raised_by, self.id):
            return
        suspicion.confirmers.add(update.reported_by)

    def _change(
        self, record: MemberRecord, state: MemberState, incarnation: int, now_us: int, reported_by: str
    ) -> None:
        """Put a member into a state, and pass that on."""
        changed = record.state != state
        since_us = now_us if changed else record.since_us
        new = MemberRecord(record.id, record.address, incarnation, state, since_us)
        self.members.put(new, was_live=record.is_live)
        if changed:
            self.events.append(MemberChanged(record.id, state, incarnation, reported_by))
        if state == MemberState.SUSPECT:
            self.suspicions.setdefault(record.id, Suspicion(now_us, reported_by))
        else:
            self.suspicions.pop(record.id, None)
        self._spread(new, reported_by)

    def _spread(self, record: MemberRecord, reported_by: str) -> None:
        self.gossip.add(Update.from_record(record, reported_by), self.members.size)

    def leave(self) -> Outgoing:
        """Leave; return the messages that say so to every live member."""
        self._leaving = True
        self.incarnation += 1
        own = replace(self.table[self.id], state=MemberState.LEFT, incarnation=self.incarnation)
        self.members.put_own(own)
        self._spread(own, self.id)
        message = Leave(
            sender=self.id,
            sender_address=self.address,
            incarnation=self.incarnation,
            updates=(Update.from_record(own, self.id),),
        )
        return [(record.address, message) for record in self.others(*LIVE_STATES)]


def _prevails(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim changes what is known of a member."""
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    return PRECEDENCE[update.state] > PRECEDENCE[record.state]


def _agrees_on_suspicion(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim is that a suspected member is suspected."""
    both_suspect = update.state == record.state == MemberState.SUSPECT
    return both_suspect and update.incarnation == record.incarnation
