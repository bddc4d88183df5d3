"""A UDP socket that logs its errors: a datagram that cannot be sent must not end the process."""

from types import TracebackType
from typing import NamedTuple

import anyio
import anyio.abc

from pinspread.core.log import log
from pinspread.membership.clock import monotonic_us
from pinspread.sockets import split_address

_MAX_SHOWN_CHARS = 100  # of an address from the network, in a log line
_SEND_ERRORS = (OSError, ValueError, anyio.ClosedResourceError, anyio.BrokenResourceError)


class Datagram(NamedTuple):
    """A received datagram, and the host that it came from."""

    data: bytes
    source: str


class DatagramSocket:
    """A UDP socket; used as a context manager, it is closed at the end.

    Args:
        listen: `host:port` to bind.
        send_failed: The log event of a datagram that cannot be sent.
        receive_failed: The log event of an error that the system reports while receiving.

    Attributes:
        socket: The open socket; None before `open`.
    """

    def __init__(self, listen: str, *, send_failed: str, receive_failed: str):
        self.socket: anyio.abc.UDPSocket | None = None
        self._listen = listen
        self._send_failed = send_failed
        self._receive_failed = receive_failed
        self._send_lock = anyio.Lock()  # anyio allows only one sender at a time

    @property
    def is_open(self) -> bool:
        """Whether `open` has bound the socket."""
        return self.socket is not None

    async def open(self) -> None:
        """Bind the socket.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split_address(self._listen)
        self.socket = await anyio.create_udp_socket(local_host=host, local_port=port)

    async def __aenter__(self) -> "DatagramSocket":
        """Return this socket, which `open` must have bound before."""
        self._open_socket()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket."""
        await self._open_socket().aclose()

    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram to `host:port`; a failure is logged, not raised."""
        try:
            host, port = split_address(address)
            async with self._send_lock:
                await self._open_socket().sendto(data, host, port)
        except _SEND_ERRORS as error:
            shown = address[:_MAX_SHOWN_CHARS]
            log(self._send_failed, to=shown, error=repr(error), mono_us=monotonic_us())

    async def receive(self) -> Datagram | None:
        """Return the next datagram, or log an error that the system reports instead and return None.

        Raises:
            BrokenResourceError: The event loop has closed the socket.
        """
        try:
            data, (source, _) = await self._open_socket().receive()
        except OSError as error:
            # The kernel reports here that the receiver of an earlier datagram refused it.
            log(self._receive_failed, error=str(error), mono_us=monotonic_us())
            return None
        return Datagram(data, source)

    def _open_socket(self) -> anyio.abc.UDPSocket:
        if self.socket is None:
            raise RuntimeError("the UDP socket is not open")
        return self.socket
