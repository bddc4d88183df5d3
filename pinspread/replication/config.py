"""The settings of the configuration file's `[copies]` table, as `config.application` passes them on."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReplicationConfig:
    """Settings of one node's replication. Times are in microseconds.

    Attributes:
        listen: `HOST:PORT` to bind; the port is the same on all nodes.
        folder: Where the replicas of others' journals are stored.
        replica_count: How many other nodes store this node's journal.
        required_acks: How many of them must acknowledge a record before it is committed.
        ack_timeout_us: How long the engine waits for these acknowledgements.
        allow_unreplicated: If too few replicas acknowledge in time, go on with the data on this node's disk
            alone.
        check_interval_us: Time between two comparisons of a replica with the journal.
        takeover_stagger_us: Each node that may take over a lost node's work waits this much longer than the
            one ranked before it.
        incomplete_timeout_us: How long a takeover or a start waits for replicas that should answer.
        absence_timeout_us: How long a node that has left, or is unknown, must be absent before it counts as
            lost.
        sync_to_disk: A replica acknowledges data only once it is synced to its disk, not just written.
    """

    listen: str
    folder: str
    replica_count: int = 2
    required_acks: int = 1
    ack_timeout_us: int = 300_000
    allow_unreplicated: bool = False
    check_interval_us: int = 30_000_000
    takeover_stagger_us: int = 500_000
    incomplete_timeout_us: int = 10_000_000
    absence_timeout_us: int = 60_000_000
    sync_to_disk: bool = False
