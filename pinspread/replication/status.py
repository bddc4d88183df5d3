"""The status of replication that operators see at `GET /-/copies`; the keys of its JSON are defined here."""

from typing import TYPE_CHECKING, Any

from pinspread.replication import clock
from pinspread.replication.journal_bytes import record_count

if TYPE_CHECKING:
    from pinspread.replication.primary import Primary
    from pinspread.replication.store import ReplicaStores


def replication_status(primary: "Primary", stores: "ReplicaStores") -> dict[str, Any]:
    """Return this node's replicas with their lag, and the replicas that it stores for other nodes."""
    log, now_us = primary.log, clock.monotonic_us()
    end = log.end()
    replicas = [_replica_status(primary, replica, now_us) for replica in primary.replicas]
    stored = [_store_status(stores, owner) for owner in sorted(stores)]
    return {
        "id": primary.node.id,
        "generation": end.generation,
        "bytes": end.offset,
        "need": primary.node.config.required_acks,
        "records": len(log.record_ends),
        "sent_bytes": primary.sent_bytes,
        "barred": primary.blocked_reason(),
        "copies": replicas,
        "keeps": stored,
    }


def _replica_status(primary: "Primary", replica: str, now_us: int) -> dict[str, Any]:
    lag = primary.log.lag(replica, now_us)
    return {
        "at": replica,
        "connected": replica in primary.connected,
        "behind_records": lag.records,
        "behind_bytes": lag.bytes,
        "behind_ms": lag.age_us // 1000,
    }


def _store_status(stores: "ReplicaStores", owner: str) -> dict[str, Any]:
    store = stores[owner]
    return {
        "owner": owner,
        "generation": store.replica.generation,
        "bytes": store.replica.size,
        "records": record_count(store.data()),
        "adopted": store.replica.takeover_token,
    }
