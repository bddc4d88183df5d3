"""Sending the journal on one connection to one replica, from where the replica is to the journal's end."""

from typing import TYPE_CHECKING

from pinspread.replication import clock
from pinspread.replication.log import MAX_CHUNK_BYTES, NOTHING, LogPosition
from pinspread.replication.protocol import AnnounceReplicas, AppendData

if TYPE_CHECKING:
    from pinspread.replication.peers import PeerSession
    from pinspread.replication.primary import Primary
    from pinspread.replication.protocol import ReplicaContent

_NEVER_US = 0


class JournalTransfer:
    """How far the journal has been sent on one connection."""

    def __init__(self, primary: "Primary", replica: str, session: "PeerSession", token: int) -> None:
        self._primary = primary
        self._log = primary.log
        self._node = primary.node
        self._replica = replica
        self._session = session
        self._token = token
        self._position = NOTHING
        self._compared_us = _NEVER_US

    def must_announce(self) -> bool:
        """Return whether the replica must be compared with the journal, or be told of other replicas."""
        check_interval_us = self._node.config.check_interval_us
        is_due = clock.monotonic_us() - self._compared_us > check_interval_us
        if is_due or self._compared_us == _NEVER_US:
            return True
        return self._primary.announced.get(self._replica) != self._primary.replicas

    async def announce(self) -> None:
        """Name all replicas to this one, and go on from where it differs from the journal."""
        self._compared_us = clock.monotonic_us()
        replicas = self._primary.replicas
        content = await self._session.call(AnnounceReplicas(self._node.id, self._token, replicas))
        self._primary.announced[self._replica] = replicas
        self._primary.notify_acknowledged()
        offset = self._log.resume_offset(content.generation, content.size, content.checksums)
        self._position = LogPosition(self._log.generation, offset)
        self._log_difference(content)

    def _log_difference(self, content: "ReplicaContent") -> None:
        generation, offset = self._position
        if content.generation == generation and offset < content.size:
            self._node.events("copies_mended", at=self._replica, place=offset, size=content.size)

    def follow_rewrite(self) -> None:
        """Begin at the start of another generation if the journal was rewritten."""
        if self._position.generation != self._log.generation:
            self._position = LogPosition(self._log.generation, 0)

    def has_data_to_send(self) -> bool:
        """Return whether the replica lacks anything, or has never acknowledged this generation."""
        generation, offset = self._position
        acknowledged = self._log.acknowledged.get(self._replica, NOTHING)
        return offset < len(self._log.data) or acknowledged.generation != generation

    async def send_chunk(self) -> None:
        """Send what comes next, and note what the replica acknowledges."""
        generation, offset = self._position
        chunk = bytes(self._log.data[offset : offset + MAX_CHUNK_BYTES])
        request = AppendData(self._node.id, self._token, generation, self._log.base, offset, chunk)
        acknowledgement = await self._session.call(request)
        self._primary.sent_bytes += len(chunk)
        self._position = LogPosition(generation, acknowledgement.size)
        self._log.acknowledged[self._replica] = self._position
        self._primary.notify_acknowledged()
