"""One member's view of the cluster, to which claims are applied by SWIM's order of precedence.

A `ClusterState` owns the member table, this member's incarnation, the suspicions and the queue of updates to
gossip. Each change is queued to be passed on to other members. No I/O and no clock; times are whole
microseconds of the member's monotonic clock.
"""

import random
from collections.abc import Iterator
from dataclasses import replace

from pinspread.membership.config import SwimConfig
from pinspread.membership.events import Event, MemberChanged, RumorRefuted
from pinspread.membership.gossip import GossipQueue
from pinspread.membership.members import (
    LIVE_STATES,
    PRECEDENCE,
    MemberRecord,
    MemberState,
    MemberTable,
)
from pinspread.membership.messages import Update
from pinspread.membership.suspicion import Suspicion, suspicion_timeout_us


class ClusterState:
    """The member table of one member, with the suspicions and the updates that belong to it.

    Args:
        local: The record of this member.
        config: The settings of the protocol.
        rng: The source of the random draws for the probe order and for picking members.

    Attributes:
        members: The member table.
        incarnation: This member's own incarnation.
        suspicions: The suspicion of each suspected member, by the member's id.
        gossip: The queue of updates that are still to be passed on.
        events: The changes since the list was last cleared.
    """

    def __init__(self, local: MemberRecord, config: SwimConfig, rng: random.Random):
        self.incarnation = local.incarnation
        self.members = MemberTable(local, rng)
        self.suspicions: dict[str, Suspicion] = {}
        self.gossip = GossipQueue(config.gossip_lambda)
        self.events: list[Event] = []
        self._config = config
        self._leaving = False

    # --- claims about others --------------------------------------------------------------------------

    def apply(self, update: Update, now_us: int, from_table: bool = False) -> None:
        """Apply a claim about another member, by SWIM's order of precedence.

        Args:
            update: The claim.
            now_us: The current time.
            from_table: Whether it is a row of another member's table, which does not confirm a suspicion; one
                of a dead member only raises a suspicion.
        """
        record = self.members.records.get(update.id)
        if from_table and update.state == MemberState.DEAD and record is not None and record.is_live:
            # After a partition, the other side's table holds all members of this side for dead. A suspicion
            # lets those refute it; declared dead, they would be cut off from this member anew.
            update = replace(update, state=MemberState.SUSPECT)
        if record is None:
            if update.state in LIVE_STATES:
                new = MemberRecord(update.id, update.address, update.incarnation, MemberState.DEAD, now_us)
                self._change(new, update.state, update.incarnation, now_us, update.reported_by)
        elif _overrides(update, record):
            moved = replace(record, address=update.address)
            self._change(moved, update.state, update.incarnation, now_us, update.reported_by)
        elif not from_table and _agrees_on_suspicion(update, record):
            self._confirm(update)

    def suspect(self, member_id: str, now_us: int) -> None:
        """Suspect a member that has not answered a probe of this one."""
        record = self.members.records.get(member_id)
        if record and record.state == MemberState.ALIVE:
            self._change(record, MemberState.SUSPECT, record.incarnation, now_us, self.members.local_id)
        elif record and record.state == MemberState.SUSPECT:
            self.queue_update(record, self.members.local_id)  # others count it as an independent confirmation

    def _confirm(self, update: Update) -> None:
        """Count a claim as an independent confirmation of a suspicion, which shortens the time-out."""
        suspicion = self.suspicions.get(update.id)
        if suspicion is None or update.reported_by in (suspicion.raised_by, self.members.local_id):
            return
        suspicion.confirmers.add(update.reported_by)

    def _change(
        self, record: MemberRecord, state: MemberState, incarnation: int, now_us: int, reported_by: str
    ) -> None:
        """Set the state and incarnation of a member, and queue the update."""
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
        self.queue_update(new, reported_by)

    # --- time -----------------------------------------------------------------------------------------

    def suspicion_deadlines_us(self) -> Iterator[int]:
        """Yield when each suspicion times out, unless it is refuted or confirmed before that."""
        return map(self._deadline_us, self.suspicions.values())

    def _deadline_us(self, suspicion: Suspicion) -> int:
        confirmations = len(suspicion.confirmers)
        return suspicion.began_us + suspicion_timeout_us(self._config, self.members.size, confirmations)

    def expire_suspicions(self, now_us: int) -> None:
        """Declare members dead whose suspicion has timed out."""
        for id_, suspicion in list(self.suspicions.items()):
            if now_us >= self._deadline_us(suspicion):
                record = self.members.records[id_]
                self._change(record, MemberState.DEAD, record.incarnation, now_us, self.members.local_id)

    def remove_down_members(self, now_us: int) -> None:
        """Remove members that have been dead or have left for longer than `SwimConfig.forget_us`."""
        forget_us = self._config.forget_us
        records = self.members.records
        ids = [id_ for id_ in self.members.down if now_us - records[id_].since_us > forget_us]
        self.members.remove(ids)
        for id_ in ids:
            self.gossip.discard(id_)

    # --- this member ----------------------------------------------------------------------------------

    def refute(self, update: Update) -> bool:
        """Refute a claim that this member is not alive, by an incarnation higher than the claim's.

        The higher incarnation overrides any claim. A member that is leaving refutes nothing.

        Returns:
            Whether the claim had to be refuted.
        """
        if update.state == MemberState.ALIVE or update.incarnation < self.incarnation or self._leaving:
            return False
        self.incarnation = update.incarnation + 1
        local = replace(self.members.local_record, incarnation=self.incarnation)
        self.members.put_local(local)
        self.queue_update(local, local.id)
        self.events.append(RumorRefuted(update.state, update.reported_by, self.incarnation))
        return True

    def leave(self) -> Update:
        """Mark this member as having left; return the claim that says so."""
        self._leaving = True
        self.incarnation += 1
        local = replace(self.members.local_record, state=MemberState.LEFT, incarnation=self.incarnation)
        self.members.put_local(local)
        self.queue_update(local, local.id)
        return Update.from_record(local, local.id)

    # --- updates to pass on ---------------------------------------------------------------------------

    def queue_update(self, record: MemberRecord, reported_by: str) -> None:
        """Queue an update, to be passed on to other members, that a member is as in the record."""
        self.gossip.add(Update.from_record(record, reported_by), self.members.size)

    def take_updates(self, receiver_id: str | None = None) -> tuple[Update, ...]:
        """Return the updates for one message, and count them as sent.

        A message to a member that this one does not hold for alive says so, that the receiver can refute it,
        even if the update has left the queue after all its sends, none of them to it (Lifeguard's buddy
        system). Such an update goes to the receiver alone: others may know better.
        """
        updates = []
        record = self.members.records.get(receiver_id) if receiver_id is not None else None
        if record and record.state != MemberState.ALIVE and record.id not in self.gossip:
            suspicion = self.suspicions.get(record.id)
            reported_by = suspicion.raised_by if suspicion else self.members.local_id
            updates.append(Update.from_record(record, reported_by))
        return (*updates, *self.gossip.take(receiver_id))


def _overrides(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim overrides the record of a member."""
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    return PRECEDENCE[update.state] > PRECEDENCE[record.state]


def _agrees_on_suspicion(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim repeats a suspicion that the record holds, with the same incarnation."""
    both_suspect = update.state == record.state == MemberState.SUSPECT
    return both_suspect and update.incarnation == record.incarnation
