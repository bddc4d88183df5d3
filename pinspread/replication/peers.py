"""Connections to other nodes, and requests to one or all of them.

Connections are TCP, from the node's own address; each request has one answer.
"""

from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, cast

import anyio

from pinspread.membership.framing import FrameStream
from pinspread.replication import protocol
from pinspread.replication.protocol import AnswerT, DatagramError, Envelope, Refusal, Request
from pinspread.sockets import split_address

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from pinspread.replication.config import ReplicationConfig
    from pinspread.replication.fleet import FleetView
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.replica_server import ReplicaServer

CALL_TIMEOUT_S = 1.0  # to connect, and for one request and its answer


def open_frames(stream: "ByteStream", key: bytes) -> FrameStream:
    """Return the stream as one of replication frames, whose checksums include the fleet's key."""
    return FrameStream(stream, key, protocol.MAGIC, protocol.MAX_FRAME_BYTES)


class PeerSession:
    """One connection to another node."""

    def __init__(self, frames: FrameStream, node_id: str, peer: str) -> None:
        self._frames = frames
        self._node_id = node_id
        self._peer = peer

    async def call(self, request: Request[AnswerT]) -> AnswerT:
        """Send a request and return its answer.

        Raises:
            OSError: The connection has ended, or there was no answer within `CALL_TIMEOUT_S`.
            RefusedError: The other node refused the request.
            DatagramError: The answer is malformed.
        """
        with anyio.fail_after(CALL_TIMEOUT_S):
            await self._frames.send(protocol.encode_request(request, self._node_id, self._peer))
            message = await self._frames.receive()
        return protocol.decode_answer(request, message)


class PeerConnector:
    """Opens connections to other nodes; replication has the same port on all nodes."""

    def __init__(self, config: "ReplicationConfig", fleet: "FleetView") -> None:
        self._fleet = fleet
        self._host, self._port = split_address(config.listen)

    @asynccontextmanager
    async def connect(self, peer: str) -> AsyncIterator[PeerSession]:
        """Connect to a node; the connection is closed at the end of the `async with` block.

        Raises:
            OSError: The node cannot be reached within `CALL_TIMEOUT_S`, or is not a member of the fleet.
        """
        stream, frames = await self._dial(peer)
        async with stream:
            yield PeerSession(frames, self._fleet.node_id, peer)

    async def _dial(self, peer: str) -> "tuple[ByteStream, FrameStream]":
        address = self._fleet.address(peer)
        if address is None:
            raise OSError(f"{peer} is not a member of the fleet")
        with anyio.fail_after(CALL_TIMEOUT_S):
            host = split_address(address)[0]
            stream = await anyio.connect_tcp(host, self._port, local_host=self._host)
        return stream, open_frames(stream, self._fleet.key)


class PeerClient:
    """Sends requests to other nodes, and to this one in the same way, but without a connection."""

    def __init__(self, node: "ReplicationNode", connector: PeerConnector, server: "ReplicaServer") -> None:
        self._node = node
        self._connector = connector
        self._server = server

    async def call(self, peer: str, request: Request[AnswerT]) -> AnswerT | None:
        """Send a request to one node; return None if it cannot be reached, does not answer or refuses."""
        if peer == self._node.id:
            return await self._call_locally(request)
        try:
            async with self._connector.connect(peer) as session:
                return await session.call(request)
        except OSError:
            return None
        except DatagramError as error:
            self._node.events("copies_refused", by=peer, why=str(error))
            return None

    async def _call_locally(self, request: Request[AnswerT]) -> AnswerT | None:
        node_id = self._node.id
        answer = await self._server.answer(Envelope(node_id, node_id, request))
        if isinstance(answer, Refusal):
            return None
        return cast("AnswerT", answer)  # the server returns the answer type of the request

    async def call_all(self, request: Request[AnswerT], exclude: Collection[str] = ()) -> dict[str, AnswerT]:
        """Send a request to this node and all live ones at once, except `exclude`; return answers by node.

        Nodes that cannot be reached, do not answer or refuse are left out of the result.
        """
        answers: dict[str, AnswerT] = {}

        async def call_one(peer: str) -> None:
            answer = await self.call(peer, request)
            if answer is not None and not isinstance(answer, Refusal):
                answers[peer] = answer

        async with anyio.create_task_group() as tasks:
            for peer in [self._node.id, *self._node.fleet.live_ids()]:
                if peer not in exclude:
                    tasks.start_soon(call_one, peer)
        return answers
