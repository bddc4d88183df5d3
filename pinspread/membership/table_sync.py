"""The exchange of member tables (push-pull anti-entropy): with whom, when, and which rows.

It repairs what gossip has missed, lets members join through seeds, and merges the sides of a healed
partition. No I/O and no clock; times are whole microseconds of the member's monotonic clock.
"""

import random
from collections.abc import Iterable, Iterator

from pinspread.membership.config import SwimConfig
from pinspread.membership.members import LIVE_STATES, MemberRecord, MemberState, MemberTable

MAX_TABLE_ROWS = 400  # in one message; with about 50 bytes a row it fits a datagram


class TableSync:
    """One member's exchanges of its table with other members.

    Args:
        members: The member table.
        local_address: `host:port` at which this member receives datagrams.
        config: The settings of the protocol.
        rng: The source of the random draws of members to exchange tables with.
        now_us: The current time; the first exchange is due at once.

    Attributes:
        seeds: The addresses of members through which to join.
        next_us: When the next exchange is due.
    """

    def __init__(
        self, members: MemberTable, local_address: str, config: SwimConfig, rng: random.Random, now_us: int
    ):
        self.seeds: list[str] = []
        self.next_us = now_us
        self._members = members
        self._local_address = local_address
        self._config = config
        self._rng = rng

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds; this member's own address is left out."""
        self.seeds = [address for address in addresses if address != self._local_address]

    def begin(self, now_us: int) -> list[str]:
        """Begin an exchange, and return the addresses to send the table to: a live member and a dead one.

        While no other member is live, the table goes to the seeds, if there are any, and the next exchange is
        due after a probe period.
        """
        is_isolated = not self._members.live_count
        self.next_us = now_us + (self._config.period_us if is_isolated else self._config.sync_us)
        if is_isolated and self.seeds:
            return self.seeds
        receivers = self._members.pick(1, states=LIVE_STATES)
        dead = self._dead_ids()
        if dead:
            # After a partition has healed, each side still takes the other for dead; this merges them again.
            receivers.append(self._members.records[self._rng.choice(dead)])
        return [record.address for record in receivers]

    def hasten(self, now_us: int) -> None:
        """Exchange tables again after a probe period, as a member has returned, if others are still dead.

        They may have returned as well, as after a partition, and gossip does not reach them from members that
        they do not probe.
        """
        if self._dead_ids():
            self.next_us = min(self.next_us, now_us + self._config.period_us)

    def _dead_ids(self) -> list[str]:
        records = self._members.records
        return [id_ for id_ in sorted(self._members.down) if records[id_].state == MemberState.DEAD]

    def sample(self) -> list[MemberRecord]:
        """Return the table, or as many of its records as fit a message."""
        return self._members.sample(MAX_TABLE_ROWS)

    def chunks(self) -> Iterator[list[MemberRecord]]:
        """Yield the complete table in parts that each fit a message, for a member that has just joined."""
        records = list(self._members.records.values())
        for start in range(0, len(records), MAX_TABLE_ROWS):
            yield records[start : start + MAX_TABLE_ROWS]
