"""Probes of other members, direct and indirect, and the local health that scales their times."""

from collections.abc import Iterator
from dataclasses import dataclass

from pinspread.membership.config import SwimConfig

_NACK_FRACTION = 0.8  # of the probe time-out, after which an indirect probe is answered by a nack (Lifeguard)


@dataclass
class Probe:
    """A probe of this member that is open.

    Attributes:
        target: The id of the member that is probed.
        sequence: The number under which it is acknowledged.
        direct_until_us: When others are asked to probe the member as well.
        ends_us: When the probe has failed.
        indirect_requested: Whether others have been asked, or would have been if there were any.
        indirect_count: How many others have been asked.
        nacks: How many of them have answered that they have no acknowledgement.
        acknowledged: Whether the member has answered.
    """

    target: str
    sequence: int
    direct_until_us: int
    ends_us: int
    indirect_requested: bool = False
    indirect_count: int = 0
    nacks: int = 0
    acknowledged: bool = False

    @property
    def due_us(self) -> int:
        """When something is to be done about the probe next."""
        return self.ends_us if self.indirect_requested or self.acknowledged else self.direct_until_us


@dataclass
class Relay:
    """A probe that this member makes for another.

    Attributes:
        requester_address: Where the other member receives the answer.
        sequence: The other member's number of the probe.
        nack_us: When it is answered by a nack.
        nack_sent: Whether it was.
    """

    requester_address: str
    sequence: int
    nack_us: int
    nack_sent: bool = False


class FailureDetector:
    """The open probes of a member.

    Args:
        config: The settings of the protocol.

    Attributes:
        health: Lifeguard's local health multiplier: 0 is well, more when this member misses answers itself.
        probes: The open probes, by sequence number.
        relays: The probes that are made for others, by this member's own sequence number.
    """

    def __init__(self, config: SwimConfig):
        self.health = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self._config = config
        self._sequence = 0

    def scaled_us(self, duration_us: int) -> int:
        """Return a duration, longer the worse the local health."""
        return duration_us * (self.health + 1)

    def adjust_health(self, delta: int) -> None:
        """Change the local health within its bounds; above 0 is worse."""
        self.health = max(0, min(self._config.max_health, self.health + delta))

    def begin_probe(self, target: str, now_us: int) -> Probe:
        """Open a probe of a member."""
        direct_until_us = now_us + self.scaled_us(self._config.timeout_us)
        ends_us = now_us + self.scaled_us(self._config.period_us)
        probe = Probe(target, self._next_sequence(), direct_until_us, ends_us)
        self.probes[probe.sequence] = probe
        return probe

    def begin_relay(self, requester_address: str, sequence: int, now_us: int) -> int:
        """Open a probe for another member, and return this member's sequence number of it."""
        nack_us = now_us + int(self._config.timeout_us * _NACK_FRACTION)
        local_sequence = self._next_sequence()
        self.relays[local_sequence] = Relay(requester_address, sequence, nack_us)
        return local_sequence

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def acknowledge(self, sequence: int) -> Relay | None:
        """Handle an acknowledgement; return the relay whose requester is to get one too, if any."""
        probe = self.probes.get(sequence)
        relay = self.relays.pop(sequence, None)
        if probe is None or probe.acknowledged:
            return relay
        probe.acknowledged = True
        if not probe.indirect_requested:
            self.adjust_health(-1)
        return None

    def count_nack(self, sequence: int) -> None:
        """Handle a nack."""
        probe = self.probes.get(sequence)
        if probe:
            probe.nacks += 1

    def probe_failed(self, probe: Probe) -> None:
        """Count a failed probe against the local health: by Lifeguard, one for each nack that is missing."""
        if probe.indirect_count:
            self.adjust_health(max(0, probe.indirect_count - probe.nacks))
        else:
            self.adjust_health(1)

    def take_due_nacks(self, now_us: int) -> Iterator[Relay]:
        """Yield each relay that is to be answered by a nack now, and drop those that are over."""
        for sequence, relay in list(self.relays.items()):
            if not relay.nack_sent and now_us >= relay.nack_us:
                relay.nack_sent = True
                yield relay
            if now_us >= relay.nack_us + self._config.timeout_us:
                del self.relays[sequence]

    def due_times_us(self) -> Iterator[int]:
        """Yield when something is to be done about each probe and relay."""
        for probe in self.probes.values():
            yield probe.due_us
        for relay in self.relays.values():
            if not relay.nack_sent:
                yield relay.nack_us
