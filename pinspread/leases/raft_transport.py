"""The streams between voters, as the transport of the Raft library.

There is one simplex TCP stream for each directed pair of voters, which the sender opens from its own address.
It carries a hello, then messages, as frames of `membership.framing`. The library relies on the order of
messages, since each may truncate a follower's log; so when a voter opens a new stream, its older one is
ended. A message that is not well-formed, not from a voter, or holds a command that could call something is
logged and refused, and its stream is ended. A voter that may not vote yet (see `learner`) only follows a
leader.
"""

import random
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

import anyio
import anyio.abc
from pysyncobj.node import Node
from pysyncobj.transport import Transport

from pinspread.core.log import log
from pinspread.leases import raft_messages
from pinspread.leases.learner import LearnerStatus
from pinspread.leases.raft_messages import MAGIC, MAX_FRAME_BYTES, Hello, Message, TermMessage
from pinspread.membership.codec import DatagramError
from pinspread.membership.framing import FrameStream

_CONNECT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = (0.1, 0.3)  # range of the random delay between connections to one voter
_HELLO_TIMEOUT_S = 2.0
_MAX_BACKLOG_BYTES = 1 << 22  # queued for one stream; above this the stream is ended
_MAX_INCOMING = 64  # incoming streams at a time
_MAX_ERROR_CHARS = 200  # in the log
_MAX_ID_CHARS = 64  # of a received id, in the log

_STREAM_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


class RaftState(Protocol):
    """The part of the Raft node that the transport uses: see `raft.RaftNode`."""

    @property
    def term(self) -> int:
        """The Raft term."""

    @property
    def last_applied(self) -> int:
        """The index of the last entry that this voter has applied."""

    @property
    def log_is_empty(self) -> bool:
        """Whether this voter's log is empty."""

    @property
    def write_failed(self) -> bool:
        """Whether a write to this voter's log failed."""

    def wake(self) -> None:
        """Run the library now instead of at its next tick."""


@dataclass(frozen=True)
class TransportConfig:
    """The settings of the transport.

    Attributes:
        member_id: The id of this voter.
        local_host: The address to connect from.
        others: The host and port of each other voter, by its id.
        key: The fleet's key.
    """

    member_id: str
    local_host: str
    others: Mapping[str, tuple[str, int]]
    key: bytes


class OutgoingStream:
    """The queue of frames for the stream to one voter.

    Attributes:
        connected: Whether the stream is open.
    """

    def __init__(self) -> None:
        self.connected = False
        self._queued: list[bytes] = []
        self._queued_bytes = 0
        self._data_available = anyio.Event()

    def put(self, data: bytes) -> None:
        """Add data to the queue."""
        self._queued.append(data)
        self._queued_bytes += len(data)
        self._data_available.set()

    async def drain(self, stream: anyio.abc.ByteSendStream, scope: anyio.CancelScope) -> None:
        """Send queued data until the stream fails or the queue is over its limit; then cancel the scope."""
        with suppress(*_STREAM_ERRORS):
            while self._queued_bytes <= _MAX_BACKLOG_BYTES:
                await self._data_available.wait()
                self._data_available = anyio.Event()
                data = b"".join(self._queued)
                self._queued = []
                self._queued_bytes = 0
                await stream.send(data)
        scope.cancel()


class VoterTransport(Transport):  # type: ignore[misc]  # the library comes without types
    """Sends the library's messages on the stream to each voter, and passes received messages to the library.

    Args:
        node: The Raft node.
        config: The settings.
        learner: Tracks whether this voter may vote.

    Attributes:
        sent_counts: The number of sent messages by kind. `append_entries` messages with entries count as
            `entries`.
    """

    def __init__(self, node: RaftState, config: TransportConfig, learner: LearnerStatus):
        super().__init__(None, None, [])
        self.sent_counts: Counter[str] = Counter()
        self._node = node
        self._learner = learner
        self._id = config.member_id
        self._local_host = config.local_host
        self._others = config.others
        self._key = config.key
        self._outgoing: dict[str, OutgoingStream] = {}
        self._incoming: dict[str, anyio.CancelScope] = {}  # by voter: the scope of its stream
        self._incoming_count = 0
        self._votes_term = 0  # the term of the votes in `_votes_from`
        self._votes_from: set[str] = set()

    def promote_if_safe(self) -> None:
        """Let this voter vote and stand for election from now on, if that is safe."""
        if not self._learner.promote_if_safe(self._node.last_applied):
            return
        for voter, outgoing in self._outgoing.items():
            if outgoing.connected:
                self._onNodeConnected(Node(voter))

    # --- sending --------------------------------------------------------------------------------------

    def send(self, node: Node, message: Message) -> bool:
        """Queue a message for a voter; return whether it was queued, which needs an open stream."""
        outgoing = self._outgoing.get(node.id)
        if outgoing is None or not outgoing.connected:
            return False
        # After a failed write, a message could report a vote or an entry that is not in the log.
        if self._node.write_failed or (self._learner.is_learner and message["type"] == "request_vote"):
            return False
        outgoing.put(raft_messages.encode_message(TermMessage(self._node.term, message), self._key))
        self.sent_counts["entries" if message.get("entries") else message["type"]] += 1
        return True

    async def stay_connected(self, voter: str) -> None:
        """Connect to a voter, and reconnect whenever the stream ends, until cancelled."""
        while True:
            outgoing = self._outgoing[voter] = OutgoingStream()
            with suppress(*_STREAM_ERRORS):
                await self._send_to(voter, outgoing)
            outgoing.connected = False
            self._onNodeDisconnected(Node(voter))
            await anyio.sleep(random.uniform(*_RECONNECT_DELAY_S))

    async def _send_to(self, voter: str, outgoing: OutgoingStream) -> None:
        """Connect to a voter, and send queued messages until the stream ends."""
        host, port = self._others[voter]
        with anyio.fail_after(_CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port, local_host=self._local_host)
        async with stream:
            hello = Hello(self._id, voter, self._node.log_is_empty)
            await stream.send(raft_messages.encode_hello(hello, self._key))
            outgoing.connected = True
            if not self._learner.is_learner:
                self._onNodeConnected(Node(voter))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_wait_until_closed, stream, tasks.cancel_scope)
                tasks.start_soon(outgoing.drain, stream, tasks.cancel_scope)

    # --- receiving ------------------------------------------------------------------------------------

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Handle an accepted stream until it ends or is refused."""
        self._incoming_count += 1
        source = ""
        try:
            async with stream:
                frames = FrameStream(stream, self._key, MAGIC, MAX_FRAME_BYTES)
                source = await self._receive_hello(frames)
                await self._receive_messages(source, frames)
        except (DatagramError, TimeoutError) as error:
            log("quorum_refused", id=self._id, source=source, why=str(error) or "no hello in time")
        except _STREAM_ERRORS:
            pass
        finally:
            self._incoming_count -= 1

    async def _receive_hello(self, frames: FrameStream) -> str:
        """Receive the hello of a stream, and return the id of the voter that sent it.

        Raises:
            DatagramError: The hello is not well-formed, not from another voter or not meant for this one, or
                too many streams are open.
            TimeoutError: No hello came in time.
        """
        if self._incoming_count > _MAX_INCOMING:
            raise DatagramError(f"more than {_MAX_INCOMING} incoming streams")
        with anyio.fail_after(_HELLO_TIMEOUT_S):
            hello = raft_messages.decode_hello(await frames.receive())
        sender, recipient = hello.sender, hello.recipient
        if sender not in self._others or recipient != self._id:
            shown = f"{sender[:_MAX_ID_CHARS]!r} to {recipient[:_MAX_ID_CHARS]!r}"
            raise DatagramError(f"stream from {shown}: expected one from another voter to {self._id!r}")
        self._learner.note_hello(sender, hello.log_is_empty)
        return sender

    async def _receive_messages(self, voter: str, frames: FrameStream) -> None:
        """Handle the messages of a voter until its stream ends or it opens another one."""
        if voter in self._incoming:
            self._incoming[voter].cancel()  # messages still in transit on the older stream are outdated
        with anyio.CancelScope() as scope:
            self._incoming[voter] = scope
            while True:
                received = raft_messages.decode_message(await frames.receive())
                self._handle_message(Node(voter), received)

    def _handle_message(self, sender: Node, received: TermMessage) -> None:
        """Pass a message to the library, unless it is outdated or this voter must ignore it as a learner."""
        message = raft_messages.skip_applied_entries(received.message, self._node.last_applied)
        if message is None:
            return
        kind = message["type"]
        self._learner.note_message(message)
        if self._learner.forbids(message):
            return
        if kind == "response_vote" and not self._is_first_vote(sender.id, received.message["term"]):
            return
        if kind == "next_node_idx" and received.term != self._node.term:
            return  # it reports the state of a log in another term, which may have changed since
        try:
            self._onMessageReceived(sender, message)
        except Exception as error:  # noqa: BLE001  no error of the library may end the instance
            raise DatagramError(f"{kind}: {error!r}"[:_MAX_ERROR_CHARS]) from None
        self._node.wake()

    def _is_first_vote(self, voter: str, term: int) -> bool:
        """Note a vote, and return whether it is the voter's first in its term.

        The library counts votes without their senders: a vote that arrives twice would count as two, and two
        leaders could be elected in one term.
        """
        if term > self._votes_term:
            self._votes_term = term
            self._votes_from.clear()
        if voter in self._votes_from:
            log("quorum_vote_repeated", id=self._id, source=voter, term=term)
            return False
        self._votes_from.add(voter)
        return True


async def _wait_until_closed(stream: anyio.abc.ByteReceiveStream, scope: anyio.CancelScope) -> None:
    """Cancel the scope once the other side, which never sends anything, closes the stream."""
    with suppress(anyio.EndOfStream, *_STREAM_ERRORS):
        await stream.receive(1)
    scope.cancel()
