"""Sends the journal to one replica on one connection, from the replica's position to the journal's end."""

from typing import TYPE_CHECKING

from pinspread.replication import clock
from pinspread.replication.log import MAX_CHUNK_BYTES, NO_POSITION, LogPosition
from pinspread.replication.protocol import Acknowledgement, AnnounceReplicas, AppendData, DatagramError

if TYPE_CHECKING:
    from pinspread.replication.peers import PeerSession
    from pinspread.replication.primary import Primary
    from pinspread.replication.protocol import ReplicaContent

_NEVER_COMPARED_US = 0


class JournalTransfer:
    """Sends the journal on one connection, and keeps the position up to which it was sent."""

    def __init__(self, primary: "Primary", replica: str, session: "PeerSession", token: int) -> None:
        self._primary = primary
        self._log = primary.log
        self._node = primary.node
        self._replica = replica
        self._session = session
        self._token = token
        self._position = NO_POSITION
        self._compared_us = _NEVER_COMPARED_US

    def must_announce(self) -> bool:
        """Return whether a comparison with the journal is due, or the replica set has changed."""
        check_interval_us = self._node.config.check_interval_us
        is_due = clock.monotonic_us() - self._compared_us > check_interval_us
        if is_due or self._compared_us == _NEVER_COMPARED_US:
            return True
        return self._primary.announced.get(self._replica) != self._primary.replicas

    async def announce(self) -> None:
        """Announce all replicas to this one, and go on sending where its content differs from the journal."""
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
        """Start again at offset 0 of the new generation if the journal was rewritten."""
        if self._position.generation != self._log.generation:
            self._position = LogPosition(self._log.generation, 0)

    def has_data_to_send(self) -> bool:
        """Return whether the replica lacks data, or has never acknowledged this generation."""
        generation, offset = self._position
        acknowledged = self._log.acknowledged.get(self._replica, NO_POSITION)
        return offset < len(self._log.data) or acknowledged.generation != generation

    async def send_chunk(self) -> None:
        """Send the next chunk, and record the position that the replica acknowledges.

        Raises:
            DatagramError: The acknowledgement is not that of this chunk.
        """
        generation, offset = self._position
        chunk = bytes(self._log.data[offset : offset + MAX_CHUNK_BYTES])
        request = AppendData(self._node.id, self._token, generation, self._log.base, offset, chunk)
        acknowledgement = await self._session.call(request)
        expected = Acknowledgement(generation, offset + len(chunk))
        if acknowledgement != expected:
            # One of an older generation would count bytes as replicated that the replica does not have.
            raise DatagramError(f"expected {expected}, got {acknowledgement}")
        self._primary.sent_bytes += len(chunk)
        self._position = LogPosition(generation, expected.size)
        self._log.acknowledged[self._replica] = self._position
        self._primary.notify_acknowledged()
