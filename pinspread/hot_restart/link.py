"""Packets between two processes: a local SOCK_SEQPACKET connection that also passes file descriptors.

A packet is sent in fragments of at most `FRAGMENT_BYTES` of data. A fragment is one message of the socket:
a byte for the packet's kind, a byte that says whether another fragment follows, and data. A packet's
descriptor is sent with its first fragment.
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
MAX_FRAGMENTS = 2048  # in one packet: 64 MB
STEP_TIMEOUT_S = 2.0  # time limit for the other side's next packet, in seconds
LOCK_RETRY_S = 0.03  # between two attempts to acquire the folder's lock, in seconds

_HEADER_BYTES = 2
_MAX_DESCRIPTORS = 4  # room in the ancillary data; one is expected, any others are closed
_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class PacketKind(IntEnum):
    """What a packet says. Different versions exchange these numbers, so they must not change."""

    HELLO = 0  # new: the digest of the state format that it reads (`state_codec.shape`)
    DECLINED = 1  # either: the exchange is declined, with the reason
    LEAVE = 2  # new: asks the old process to shut down and release the lock
    STATE = 3  # old: the pickled state
    CLIENT_CONNECTION = 4  # old: a client's connection, with its descriptor
    IDLE_CONNECTION = 5  # old, no longer sent: an idle connection to an endpoint, with its descriptor
    LISTENER = 6  # old: a listening socket, with its descriptor
    LOCK = 7  # old: everything has been sent; with the descriptor of the folder's lock
    TAKEN_OVER = 8  # new: it now owns everything
    ATTEMPT_COMPLETED = 9  # old: the result of an attempt that was in flight there
    RETRY_AFTER = 10  # old: an endpoint gave a Retry-After
    HEALTH_CHECK_COMPLETED = 11  # old: the result of a health check that was in flight there
    SET_ENDPOINT_DISABLED = 12  # old: an operator asked it to disable or enable an endpoint
    ENDPOINT_DISABLED = 13  # new: the answer to SET_ENDPOINT_DISABLED


class HandoverFormatError(PinspreadError, ValueError):
    """What was received is not a valid packet of the exchange, or not a readable state."""


class Packet(NamedTuple):
    """A packet as it was received.

    Attributes:
        kind: A number of `PacketKind`; the caller of `receive` must refuse any other.
        data: The packet's contents.
        descriptor: The descriptor that came with it, now owned by the caller of `receive`; None without one.
    """

    kind: int
    data: bytes
    descriptor: int | None

    def discard_descriptor(self) -> None:
        """Close the descriptor, if there is one; for packets that should have none."""
        if self.descriptor is not None:
            os.close(self.descriptor)


class Link:
    """One connection between two processes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def send(self, kind: int, data: bytes = b"", descriptor: int | None = None) -> None:
        """Send one packet, with a descriptor if one is given.

        Raises:
            OSError: The other process has closed the connection or ended.
        """
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
            HandoverFormatError: What was received is not a valid packet.
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
            raise HandoverFormatError(f"packet has more than {MAX_FRAGMENTS} fragments")

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
                # The other process has ended without reading all of our packets. The kernel reports this once
                # and first: the packets that the other process sent before are still to be received, and the
                # end of the connection follows them.
                continue
        descriptors = _descriptors(ancillary)
        if not fragment:
            _close_all(descriptors)
            raise ConnectionResetError("the other process has ended the exchange")
        return fragment, descriptors

    def has_unread(self) -> bool:
        """Whether a packet, or the end of the exchange, is waiting to be received."""
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
    """The packet kind of a fragment, which must be that of the packet's earlier fragments (`kind`)."""
    if len(fragment) < _HEADER_BYTES or fragment[1] > 1 or kind not in (None, fragment[0]):
        raise HandoverFormatError(
            f"malformed fragment: {len(fragment)} bytes, header {fragment[:_HEADER_BYTES].hex()}"
        )
    return fragment[0]


def _descriptors(ancillary: list[tuple[int, int, bytes]]) -> list[int]:
    received_descriptors = array.array("i")
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            received_descriptors.frombytes(data[: len(data) - len(data) % received_descriptors.itemsize])
    return list(received_descriptors)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


@contextmanager
def socket_path(folder: str) -> Iterator[str]:
    """The path of the socket in the state folder; valid only while the block runs.

    The path of a Unix socket is limited to 107 bytes. A path through the folder's descriptor is short,
    however long the path of the folder is.
    """
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def connect(folder: str) -> Link:
    """Connect to the process that serves the state folder.

    Raises:
        OSError: No process listens there, or it runs as another user (PermissionError).
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
        raise PermissionError(f"the handover socket belongs to user {user_id}, not to {os.getuid()}")
