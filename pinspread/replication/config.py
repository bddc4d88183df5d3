"""What the file's `[copies]` table sets, as `config.application` hands it over."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReplicationConfig:
    """Settings of one node's replication. Times are in microseconds.

    Attributes:
        listen: `HOST:PORT` to bind; the port is the same on all nodes.
        folder: Where the replicas of others' journals are stored.
        replica_count: How many other nodes store this node's journal.
        required_acks: How many of them must acknowledge before anything is promised.
        ack_timeout_us: How long a promise waits for these acknowledgements.
        allow_unreplicated: Promise on one disk where too few replicas acknowledge in time.
        check_interval_us: Between two comparisons of a replica with the journal.
        takeover_stagger_us: Between the nodes that may take a lost node's work over.
        incomplete_timeout_us: How long a takeover or a start waits for replicas that should answer.
        absence_timeout_us: How long a node is gone that left, or is unknown, before it counts as lost.
        sync_to_disk: An acknowledgement says that the data is on the replica's disk, not just written.
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
