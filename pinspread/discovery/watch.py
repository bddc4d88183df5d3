"""One watch: a request whose response brings the endpoint list and then its changes."""

from collections.abc import Callable

import anyio

from pinspread.http.exchange import Exchange
from pinspread.sockets import Connection, dial


class Watch:
    """One watch, from its opening to its end.

    Args:
        address: Where it is opened, host:port.
        full: It asks for the full list, whatever is known.

    Attributes:
        scope: Cancelled to end it.
        up: Its response has begun.
        silent_at_us: When it counts as silent unless something comes, in microseconds on the monotonic clock.
        connection: Its connection, once there is one.
    """

    __slots__ = ("address", "connection", "full", "scope", "silent_at_us", "up")

    def __init__(self, address: str, full: bool) -> None:
        self.address = address
        self.full = full
        self.scope = anyio.CancelScope()
        self.up = False
        self.silent_at_us = 0
        self.connection: Connection | None = None

    async def request(self, sequence: Callable[[], int], timeout_s: float) -> Exchange:
        """Ask for what comes after a version of the list, and wait for the response to begin.

        Args:
            sequence: Gives that version once the connection is open; another watch may change it until then.
            timeout_s: How long all of it may take.

        Raises:
            OSError: Discovery cannot be reached, or does not answer in time (TimeoutError).
            ValueError: It answered something else.
        """
        with anyio.fail_after(timeout_s):
            self.connection = await dial(self.address)
            exchange = Exchange(self.connection, max_response_bytes=None)
            target = f"/api/targets?watch=1&from={0 if self.full else sequence()}"
            await exchange.send_request("GET", target, self.address)
            status, _ = await exchange.read_response()
        if status != 200:
            raise ValueError(f"discovery answered {status}")
        return exchange

    def close(self) -> None:
        """Close its connection."""
        if self.connection is not None:
            self.connection.close()
