"""Packets between two processes: a local SOCK_SEQPACKET connection that also passes descriptors.

A packet travels in fragments of at most `FRAGMENT_BYTES` of data. A fragment is one message of the socket:
a byte for the packet's kind, a byte that says whether another fragment follows, and data. A descriptor rides
with the first fragment of the packet that speaks of it.
"""

import array
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from enum import IntEnum
from typing import NamedTuple

import anyio

from pinspread.errors import PinspreadError

SOCKET_NAME = "handover"  # in the state folder
FRAGMENT_BYTES = 32 * 1024
MAX_FRAGMENTS = 2048  # of one packet: 64 MB
STEP_S = 2.0  # how long the other side may take for its next packet, in seconds
RETRY_S = 0.03  # between two attempts to take the folder's lock, in seconds

_HEADER_BYTES = 2
_MAX_DESCRIPTORS = 4  # room for ancillary data; one is expected, surplus ones are closed
_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class PacketKind(IntEnum):
    """What a packet says; the numbers are on the wire between versions and stay."""

    HELLO = 0  # new: the shape of the state that it understands
    DECLINED = 1  # either: no exchange, and why
    LEAVE = 2  # new: end, and leave the lock
    STATE = 3  # old: the pickled state
    CLIENT_CONNECTION = 4  # old: a client's connection, with its descriptor
    IDLE_CONNECTION = 5  # old: an idle connection to an endpoint, with its descriptor
    LISTENER = 6  # old: a listening socket, with its descriptor
    LOCK = 7  # old: that was all; with the descriptor of the folder's lock
    TAKEN_OVER = 8  # new: it owns everything
    ATTEMPT_COMPLETED = 9  # old: how an attempt ended that was in flight there
    RETRY_AFTER = 10  # old: an endpoint gave a Retry-After
    HEALTH_CHECK_COMPLETED = 11  # old: how a health check ended that was in flight there
    SET_ENDPOINT_DISABLED = 12  # old: an operator asked it to disable or enable an endpoint
    ENDPOINT_DISABLED = 13  # new: the answer to that


class HandoverFormatError(PinspreadError, ValueError):
    """What came is no packet of the exchange, or no state that can be read."""


class Packet(NamedTuple):
    """A packet as it was received.

    Attributes:
        kind: A number of `PacketKind`; any other is for the reader to refuse.
        data: What it holds.
        descriptor: The descriptor that came with it, which its reader owns; None without one.
    """

    kind: int
    data: bytes
    descriptor: int | None

    def discard_descriptor(self) -> None:
        """Close the descriptor, where the reader expects none."""
        if self.descriptor is not None:
            os.close(self.descriptor)


class Link:
    """One connection between two processes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def send(self, kind: int, data: bytes = b"", descriptor: int | None = None) -> None:
        """Send one packet, with a descriptor if there is one; OSError if the other side has ended."""
        view = memoryview(data)
        start = 0
        another_follows = True
        while another_follows:
            fragment = view[start : start + FRAGMENT_BYTES]
            start += FRAGMENT_BYTES
            another_follows = start < len(view)
            await self._send_fragment(bytes((kind, another_follows)), fragment, descriptor)
            descriptor = None

    async def _send_fragment(self, header: bytes, data: memoryview, descriptor: int | None) -> None:
        ancillary = []
        if descriptor is not None:
            ancillary.append((socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor])))
        while True:
            try:
                self.sock.sendmsg([header, data], ancillary)
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
            else:
                return

    async def receive(self) -> Packet:
        """Wait for the next packet.

        Raises:
            ConnectionResetError: The other process has ended the exchange.
            HandoverFormatError: What came is no packet.
        """
        data = bytearray()
        kind: int | None = None
        descriptor: int | None = None
        with ExitStack() as on_error:
            for _ in range(MAX_FRAGMENTS):
                fragment, descriptors = await self._receive_fragment()
                if descriptors and descriptor is None:
                    descriptor = descriptors.pop(0)
                    on_error.callback(os.close, descriptor)
                _close_all(descriptors)
                kind = _checked_kind(fragment, kind)
                data += memoryview(fragment)[_HEADER_BYTES:]
                if not fragment[1]:
                    on_error.pop_all()
                    return Packet(kind, bytes(data), descriptor)
            raise HandoverFormatError("a message without an end")

    async def _receive_fragment(self) -> tuple[bytes, list[int]]:
        size = _HEADER_BYTES + FRAGMENT_BYTES
        ancillary_size = socket.CMSG_SPACE(_MAX_DESCRIPTORS * array.array("i").itemsize)
        while True:
            try:
                fragment, ancillary, _, _ = self.sock.recvmsg(size, ancillary_size)
                break
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
            except ConnectionResetError:
                # The other process has ended with packets of ours unread. The kernel says so once, and first;
                # what that process had sent before is still there, and then comes its end.
                continue
        descriptors = _descriptors(ancillary)
        if not fragment:
            _close_all(descriptors)
            raise ConnectionResetError("the other process has ended the exchange")
        return fragment, descriptors

    def has_unread(self) -> bool:
        """Whether a packet, or the end of the exchange, is there to be received."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def _checked_kind(fragment: bytes, kind: int | None) -> int:
    """The kind that a fragment names, which is that of the fragments before it."""
    if len(fragment) < _HEADER_BYTES or fragment[1] > 1 or kind not in (None, fragment[0]):
        raise HandoverFormatError("not a packet of the exchange")
    return fragment[0]


def _descriptors(ancillary: list[tuple[int, int, bytes]]) -> list[int]:
    found = array.array("i")
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return list(found)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


@contextmanager
def socket_path(folder: str) -> Iterator[str]:
    """The path of the socket in the state folder, while the block runs.

    A socket's path has room for 107 bytes; by way of the folder's descriptor it is short however deep the
    folder lies.
    """
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def connect(folder: str) -> Link:
    """Connect to the process that serves the state folder.

    Raises:
        OSError: None listens there, or it belongs to another user (PermissionError).
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with ExitStack() as on_error:
        on_error.callback(sock.close)
        with socket_path(folder) as path:
            sock.connect(path)
        _check_same_user(sock)
        on_error.pop_all()
    return Link(sock)


def _check_same_user(sock: socket.socket) -> None:
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    _, user_id, _ = _CREDENTIALS.unpack(credentials)
    if user_id != os.getuid():
        raise PermissionError("another user's process is there")
