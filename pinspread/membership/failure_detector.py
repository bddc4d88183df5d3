"""Probes of other members, direct and indirect, and the local health that scales their time-outs."""

from collections.abc import Iterator
from dataclasses import dataclass

from pinspread.membership.config import SwimConfig

# The fraction of the probe time-out after which an indirect probe without an acknowledgement is answered by a
# nack (Lifeguard).
_NACK_FRACTION = 0.8


@dataclass
class Probe:
    """An open probe that this member has sent.

    Attributes:
        target: The id of the probed member.
        sequence: The sequence number that the acknowledgement carries.
        direct_until_us: When other members are asked to probe the target as well.
        ends_us: When the probe fails unless it has been acknowledged.
        indirect_requested: Whether other members have been asked, or would have been if there were any.
        indirect_count: How many other members have been asked.
        nacks: How many of them have answered that they have received no acknowledgement.
        acknowledged: Whether the target has acknowledged the probe, directly or through another member.
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
        """When the probe has to be handled next."""
        return self.ends_us if self.indirect_requested or self.acknowledged else self.direct_until_us


@dataclass
class Relay:
    """An indirect probe, which this member makes at the request of another.

    Attributes:
        requester_address: `host:port` at which the requester receives the answer.
        sequence: The requester's sequence number of the probe.
        nack_us: When a nack is sent unless the target has acknowledged.
        nack_sent: Whether the nack has been sent.
    """

    requester_address: str
    sequence: int
    nack_us: int
    nack_sent: bool = False


class FailureDetector:
    """The open probes of one member, and its local health.

    Args:
        config: The settings of the protocol.

    Attributes:
        health: Lifeguard's local health: 0 is healthy; it rises when this member itself misses answers.
        probes: The open probes, by sequence number.
        relays: The probes made for other members, by this member's own sequence number.
    """

    def __init__(self, config: SwimConfig):
        self.health = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self._config = config
        self._sequence = 0

    def scaled_us(self, duration_us: int) -> int:
        """Return a duration multiplied by the local health + 1."""
        return duration_us * (self.health + 1)

    def adjust_health(self, delta: int) -> None:
        """Add to the local health, which stays between 0 and `max_health`; a positive `delta` is worse."""
        self.health = max(0, min(self._config.max_health, self.health + delta))

    def begin_probe(self, target: str, now_us: int) -> Probe:
        """Open a direct probe of a member."""
        direct_until_us = now_us + self.scaled_us(self._config.timeout_us)
        ends_us = now_us + self.scaled_us(self._config.period_us)
        probe = Probe(target, self._next_sequence(), direct_until_us, ends_us)
        self.probes[probe.sequence] = probe
        return probe

    def begin_relay(self, requester_address: str, sequence: int, now_us: int) -> int:
        """Open a probe at another member's request, and return this member's sequence number for it."""
        nack_us = now_us + int(self._config.timeout_us * _NACK_FRACTION)
        local_sequence = self._next_sequence()
        self.relays[local_sequence] = Relay(requester_address, sequence, nack_us)
        return local_sequence

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def acknowledge(self, sequence: int, sender: str) -> Relay | None:
        """Handle an acknowledgement; return the relay, if any, whose requester must be sent one too.

        Only the target answers a direct probe. A late answer to another one, made before this member was
        restarted, may have the same sequence number.
        """
        probe = self.probes.get(sequence)
        if probe is not None and sender != probe.target and not probe.indirect_requested:
            return None
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
        """Worsen the local health by 1, or after an indirect probe by each missing nack (Lifeguard)."""
        if probe.indirect_count:
            self.adjust_health(max(0, probe.indirect_count - probe.nacks))
        else:
            self.adjust_health(1)

    def take_due_nacks(self, now_us: int) -> Iterator[Relay]:
        """Yield each relay whose requester must be sent a nack now, and remove those that have timed out."""
        for sequence, relay in list(self.relays.items()):
            if not relay.nack_sent and now_us >= relay.nack_us:
                relay.nack_sent = True
                yield relay
            if now_us >= relay.nack_us + self._config.timeout_us:
                del self.relays[sequence]

    def due_times_us(self) -> Iterator[int]:
        """Yield when each probe and relay has to be handled next."""
        for probe in self.probes.values():
            yield probe.due_us
        for relay in self.relays.values():
            if not relay.nack_sent:
                yield relay.nack_us
