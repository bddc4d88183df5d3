"""The member table: a record of each member of the cluster, and the order in which members are probed."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

_SMALL_TABLE_SIZE = 64  # up to this many members, `pick` draws from a list of all candidates
_DRAWS_PER_PICK = 8  # in a larger table, the maximum number of random draws for each member to pick


class MemberState(StrEnum):
    """The state of a member; the values appear on the wire, in the admin server's JSON and in the log."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)

# Of two claims with the same incarnation, the one with the higher precedence overrides the other.
PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What the member table holds of one member.

    A record is immutable; a change replaces it by another, so that tables can share records.

    Attributes:
        id: The member's name.
        address: `host:port` at which it receives membership datagrams.
        incarnation: A number that only the member itself raises, to refute claims about it.
        state: The member's state.
        since_us: When it entered that state, in microseconds of the clock of the table's owner.
    """

    id: str
    address: str
    incarnation: int
    state: MemberState
    since_us: int

    @property
    def is_live(self) -> bool:
        """Whether the member counts as part of the cluster: it is alive or suspected."""
        return self.state in LIVE_STATES

    def to_json(self) -> dict[str, Any]:
        """Return the record as the admin server shows it."""
        return {
            "id": self.id,
            "address": self.address,
            "state": self.state.value,
            "incarnation": self.incarnation,
            "since_us": self.since_us,
        }


class MemberTable:
    """The records of all members that one member knows, itself included.

    Args:
        local: The record of the local member, which owns the table.
        rng: The source of the random draws for the probe order and for picking members.

    Attributes:
        records: The record of each member, by id.
        live_count: How many other members are alive or suspected.
        down: The ids of other members that are dead or have left.
        probe_order: The ids of the members of this round of probes, shuffled.
        probe_position: The index in `probe_order` of the next member to probe.
    """

    def __init__(self, local: MemberRecord, rng: random.Random):
        self.local_id = local.id
        self.records = {local.id: local}
        self.live_count = 0
        self.down: set[str] = set()
        self.probe_order: list[str] = []
        self.probe_position = 0
        self._rng = rng

    @property
    def size(self) -> int:
        """How many members are alive or suspected, the local one included."""
        return 1 + self.live_count

    @property
    def local_record(self) -> MemberRecord:
        """The record of the local member."""
        return self.records[self.local_id]

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members in any of the states."""
        return [
            record
            for record in self.records.values()
            if record.id != self.local_id and record.state in states
        ]

    def put(self, record: MemberRecord, was_live: bool) -> None:
        """Add or replace another member's record; `was_live` says whether its earlier record was live."""
        self.records[record.id] = record
        self.live_count += record.is_live - was_live
        if not record.is_live:
            self.down.add(record.id)
            return
        self.down.discard(record.id)
        if not was_live:  # SWIM's round-robin inserts it at a random position of the round
            position = self._rng.randrange(len(self.probe_order) + 1)
            self.probe_order.insert(position, record.id)
            self.probe_position += position < self.probe_position

    def put_local(self, record: MemberRecord) -> None:
        """Replace the record of the local member."""
        self.records[record.id] = record

    def remove(self, ids: Iterable[str]) -> None:
        """Remove members that are dead or have left."""
        for id_ in ids:
            del self.records[id_]
            self.down.discard(id_)

    def next_probe_target(self) -> MemberRecord:
        """Return the next member of the round; after the last, begin another. One other must be live."""
        for _ in range(2):
            while self._at_departed_member():
                self.probe_position += 1
            if self.probe_position < len(self.probe_order):
                break
            self.probe_order = [record.id for record in self.others(*LIVE_STATES)]
            self._rng.shuffle(self.probe_order)
            self.probe_position = 0
        target = self.probe_order[self.probe_position]
        self.probe_position += 1
        return self.records[target]

    def _at_departed_member(self) -> bool:
        """Whether the next member of the round is no longer live."""
        if self.probe_position >= len(self.probe_order):
            return False
        record = self.records.get(self.probe_order[self.probe_position])
        return record is None or not record.is_live

    def pick(
        self, count: int, avoid: Collection[str] = (), states: Collection[MemberState] = (MemberState.ALIVE,)
    ) -> list[MemberRecord]:
        """Return up to `count` other members in any of the states, drawn at random; none is in `avoid`."""
        if len(self.probe_order) <= _SMALL_TABLE_SIZE:
            candidates = [record for record in self.others(*states) if record.id not in avoid]
            return self._rng.sample(candidates, min(count, len(candidates)))
        chosen: dict[str, MemberRecord] = {}
        for _ in range(count * _DRAWS_PER_PICK):
            record = self.records.get(self.probe_order[self._rng.randrange(len(self.probe_order))])
            if record is not None and record.state in states and record.id not in avoid:
                chosen[record.id] = record
                if len(chosen) == count:
                    break
        return list(chosen.values())

    def sample(self, max_count: int) -> list[MemberRecord]:
        """Return all records or, if there are more than `max_count`, a part of them.

        The part consists of the local member, random members that are dead or have left (up to a quarter of
        `max_count`), and consecutive members of the probe order from a random start on, so that several
        samples cover the table.
        """
        if len(self.records) <= max_count:
            return list(self.records.values())
        down = self._rng.sample(sorted(self.down), min(len(self.down), max_count // 4))
        ids = [self.local_id, *down]
        start = self._rng.randrange(len(self.probe_order))
        run = self.probe_order[start : start + max_count - len(ids)]
        run += self.probe_order[: max_count - len(ids) - len(run)]
        return [self.records[id_] for id_ in dict.fromkeys(ids + run) if id_ in self.records]
