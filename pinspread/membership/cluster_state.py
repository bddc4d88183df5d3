"""What one member believes of the cluster: claims are applied here, by SWIM's order of precedence.

A `ClusterState` owns the member table, this member's incarnation, the suspicions and the queue of updates to
gossip. Whatever it changes is queued to be passed on. No I/O and no clock; times are whole microseconds of
the member's monotonic clock.
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
    """The table of one member, with the suspicions and updates that go with it.

    Args:
        local: The record of this member.
        config: The settings of the protocol.
        rng: Draws the probe order and the members that are picked.

    Attributes:
        members: The member table.
        incarnation: This member's own incarnation.
        suspicions: The suspicion of each member that is suspected, by its id.
        gossip: The updates that are still to be passed on.
        events: What has changed since the events were last cleared.
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
            now_us: The time.
            from_table: Whether it is a row of another member's table, which confirms no suspicion.
        """
        record = self.members.records.get(update.id)
        if record is None:
            if update.state in LIVE_STATES:
                new = MemberRecord(update.id, update.address, update.incarnation, MemberState.DEAD, now_us)
                self._change(new, update.state, update.incarnation, now_us, update.reported_by)
        elif _prevails(update, record):
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
            self.spread(record, self.members.local_id)  # an independent confirmation for the others

    def _confirm(self, update: Update) -> None:
        """Count an independent confirmation of a suspicion, which shortens its time-out."""
        suspicion = self.suspicions.get(update.id)
        if suspicion is None or update.reported_by in (suspicion.raised_by, self.members.local_id):
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
        self.spread(new, reported_by)

    # --- time -----------------------------------------------------------------------------------------

    def suspicion_ends_us(self) -> Iterator[int]:
        """Yield when each suspicion ends, unless it is refuted or confirmed before."""
        return map(self._ends_us, self.suspicions.values())

    def _ends_us(self, suspicion: Suspicion) -> int:
        confirmations = len(suspicion.confirmers)
        return suspicion.began_us + suspicion_timeout_us(self._config, self.members.size, confirmations)

    def expire_suspicions(self, now_us: int) -> None:
        """Take members for dead that were suspected for long enough."""
        for id_, suspicion in list(self.suspicions.items()):
            if now_us >= self._ends_us(suspicion):
                record = self.members.records[id_]
                self._change(record, MemberState.DEAD, record.incarnation, now_us, self.members.local_id)

    def forget_down(self, now_us: int) -> None:
        """Forget members that have been down for long."""
        forget_us = self._config.forget_us
        records = self.members.records
        ids = [id_ for id_ in self.members.down if now_us - records[id_].since_us > forget_us]
        self.members.remove(ids)
        for id_ in ids:
            self.gossip.discard(id_)

    # --- this member ----------------------------------------------------------------------------------

    def refute(self, update: Update) -> bool:
        """Answer a claim that this member is not alive by a higher incarnation, which wins over any claim.

        Returns:
            Whether there was something to refute.
        """
        if update.state == MemberState.ALIVE or update.incarnation < self.incarnation or self._leaving:
            return False
        self.incarnation = update.incarnation + 1
        local = replace(self.members.local_record, incarnation=self.incarnation)
        self.members.put_local(local)
        self.spread(local, local.id)
        self.events.append(RumorRefuted(update.state, update.reported_by, self.incarnation))
        return True

    def leave(self) -> Update:
        """Leave; return the claim that says so."""
        self._leaving = True
        self.incarnation += 1
        local = replace(self.members.local_record, state=MemberState.LEFT, incarnation=self.incarnation)
        self.members.put_local(local)
        self.spread(local, local.id)
        return Update.from_record(local, local.id)

    # --- updates to pass on ---------------------------------------------------------------------------

    def spread(self, record: MemberRecord, reported_by: str) -> None:
        """Pass on that a member is as in the record."""
        self.gossip.add(Update.from_record(record, reported_by), self.members.size)

    def take_updates(self, first: str | None = None) -> tuple[Update, ...]:
        """Return the updates for one message, which count as sent; those about `first` before all others."""
        updates = []
        suspicion = self.suspicions.get(first) if first is not None else None
        if first is not None and suspicion and first not in self.gossip:
            # Lifeguard's buddy system: a suspected member is informed in every message to it, so that it can
            # refute even though the update has been sent its number of times, none of them to it.
            updates.append(Update.from_record(self.members.records[first], suspicion.raised_by))
        return (*updates, *self.gossip.take(first))


def _prevails(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim changes what is known of a member."""
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    return PRECEDENCE[update.state] > PRECEDENCE[record.state]


def _agrees_on_suspicion(update: Update, record: MemberRecord) -> bool:
    """Return whether a claim is that a suspected member is suspected."""
    both_suspect = update.state == record.state == MemberState.SUSPECT
    return both_suspect and update.incarnation == record.incarnation
