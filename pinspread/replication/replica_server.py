"""The replica's side on the network: answers requests, and stores the journals that other nodes send."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
import anyio.to_thread

from pinspread.replication import protocol
from pinspread.replication.log import range_checksums
from pinspread.replication.peers import open_frames
from pinspread.replication.protocol import (
    Acknowledgement,
    AnnounceReplicas,
    Answer,
    AppendData,
    CompleteTakeover,
    Consent,
    DatagramError,
    Envelope,
    FetchSnapshot,
    ReadSnapshot,
    Refusal,
    ReplicaContent,
    RequestRemoval,
)
from pinspread.replication.replica import ReplicaRefusedError
from pinspread.replication.snapshots import ReplicaSnapshot

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.primary import Primary
    from pinspread.replication.store import ReplicaStore, ReplicaStores

Handler = Callable[["ReplicaStore", Any, str], Awaitable[Answer]]


class ReplicaServer:
    """Answers the requests of other nodes, and those of this node to itself."""

    def __init__(self, node: "ReplicationNode", stores: "ReplicaStores", primary: "Primary") -> None:
        self._node = node
        self._stores = stores
        self._primary = primary
        self._handlers: dict[type, Handler] = {
            AnnounceReplicas: self._announce,
            AppendData: self._append,
            FetchSnapshot: self._fetch,
            ReadSnapshot: self._read,
            CompleteTakeover: self._complete_takeover,
        }

    async def serve(self, stream: "SocketStream") -> None:
        """Answer all requests on one connection, until it ends or a frame is malformed."""
        frames = open_frames(stream, self._node.fleet.key)
        try:
            async with stream:
                while True:
                    message = await frames.receive()
                    await frames.send(await self.handle(message))
        except DatagramError as error:
            self._node.events("copies_refused", why=str(error))
        except OSError:
            pass  # the other side has ended the connection

    async def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a message, both in wire form.

        Raises:
            DatagramError: The message is malformed.
        """
        return protocol.encode_answer(await self.answer(protocol.decode_request(message)))

    async def answer(self, envelope: Envelope) -> Answer:
        """Answer a request, with a `Refusal` if it is refused."""
        request = envelope.request
        reason = self._refusal_reason(envelope)
        if not reason:
            try:
                if isinstance(request, RequestRemoval):
                    return self._removal(request, envelope.sender)
                return await self._answer_from_store(envelope)
            except OSError as error:
                reason = f"disk: {error}"
        self._node.events("copies_refused", source=envelope.sender, owner=request.owner, why=reason)
        return Refusal(reason)

    def _refusal_reason(self, envelope: Envelope) -> str:
        """Return why a request is refused regardless of the replica's state; empty if it is not."""
        owner, sender = envelope.request.owner, envelope.sender
        is_owner_known = self._node.fleet.knows(owner) or owner in self._stores
        is_for_us = envelope.recipient == self._node.id
        if not is_for_us or not self._node.fleet.knows(sender) or not is_owner_known:
            return "not a member of the fleet"
        if protocol.is_only_from_owner(envelope.request) and sender != owner:
            return f"{sender} does not own the work of {owner}"
        if envelope.has_negative_number:
            return "a figure below 0"
        return ""

    async def _answer_from_store(self, envelope: Envelope) -> Answer:
        request = envelope.request
        store = self._stores.get_or_create(request.owner)
        async with store.lock:  # handles requests in order of arrival, also while the disk is slow
            try:
                return await self._handlers[type(request)](store, request, envelope.sender)
            except ReplicaRefusedError as error:
                self._node.events("copies_refused", owner=store.replica.owner, why=str(error))
                return Refusal(str(error))

    async def _announce(self, store: "ReplicaStore", request: AnnounceReplicas, _sender: str) -> Answer:
        store.replica.accept_owner(request.fencing_token)
        store.replica.replicas = [str(replica) for replica in request.replicas]
        store.save()
        data = store.data()
        # A write that failed may have left more, or less, in the file than was counted. The owner sends what
        # follows the size that it is told.
        store.replica.size = len(data)
        return ReplicaContent(store.replica.generation, len(data), range_checksums(data))

    async def _append(self, store: "ReplicaStore", request: AppendData, _sender: str) -> Answer:
        target = store.replica.place(request.fencing_token, request.generation, request.base, request.offset)
        if self._node.config.sync_to_disk:
            # In a thread: a slow sync would block the event loop, and keep this node from signalling that it
            # is alive.
            await anyio.to_thread.run_sync(store.write, target, request.offset, request.data, True)
        else:
            store.write(target, request.offset, request.data)
        return Acknowledgement(request.generation, request.offset + len(request.data))

    async def _fetch(self, store: "ReplicaStore", request: FetchSnapshot, sender: str) -> Answer:
        store.replica.fence(request.fencing_token, sender)
        store.save()
        return _snapshot(store)

    async def _read(self, store: "ReplicaStore", _request: ReadSnapshot, _sender: str) -> Answer:
        return _snapshot(store)

    async def _complete_takeover(
        self, store: "ReplicaStore", request: CompleteTakeover, _sender: str
    ) -> Answer:
        replica = store.replica
        replica.require_current_token(request.fencing_token)
        replica.takeover_token = request.fencing_token
        store.save()
        return Acknowledgement(replica.generation, replica.size)

    def _removal(self, request: RequestRemoval, sender: str) -> Answer:
        """Answer a node that this one chose earlier, and that asks whether it may remove its replica."""
        if request.owner != self._node.id or not self._primary.may_be_removed(sender):
            return Refusal("not yet")
        return Consent()


def _snapshot(store: "ReplicaStore") -> ReplicaSnapshot:
    replica = store.replica
    return ReplicaSnapshot(
        replica.generation,
        store.data(),
        replica.replicas,
        replica.takeover_candidates,
        replica.takeover_token,
    )
