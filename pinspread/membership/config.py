"""The settings of the SWIM protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SwimConfig:
    """The settings of a member; times are in microseconds.

    Attributes:
        period_us: The interval between probes, at local health 0.
        timeout_us: The time-out of a direct acknowledgement, at local health 0.
        indirect_probes: How many other members are asked to probe one that does not answer.
        suspicion_alpha: The shortest suspicion time-out is alpha * log10(members) probe periods.
        suspicion_beta: The longest suspicion time-out is beta times the shortest.
        gossip_lambda: An update is piggybacked on lambda * log10(members + 1) messages, rounded up.
        sync_us: The interval between exchanges of member tables.
        max_health: The upper bound of Lifeguard's local health: probe periods and time-outs grow by
            a factor of health + 1.
        forget_us: How long members that are dead or have left stay in the table.
    """

    period_us: int = 1_000_000
    timeout_us: int = 400_000
    indirect_probes: int = 3
    suspicion_alpha: float = 4.0
    suspicion_beta: float = 6.0
    gossip_lambda: float = 4.0
    sync_us: int = 5_000_000
    max_health: int = 8
    forget_us: int = 120_000_000
