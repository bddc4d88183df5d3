"""A watch: a request whose long-lived response carries the endpoint list and then its changes."""

from collections.abc import Callable

import anyio

from pinspread.http.exchange import Exchange
from pinspread.sockets import Connection, dial


class Watch:
    """One watch, from its opening to its end.

    Args:
        address: The address of discovery, host:port.
        full: The watch asks for the full list, not only for the changes since a version.

    Attributes:
        scope: The cancel scope of the watch; cancelling it ends the watch.
        up: The response has begun.
        began_us: When it began, in microseconds on the monotonic clock.
        silent_at_us: When the watch counts as silent unless a line arrives before, in microseconds on the
            monotonic clock.
        connection: The connection, once it is open.
    """

    __slots__ = ("address", "began_us", "connection", "full", "scope", "silent_at_us", "up")

    def __init__(self, address: str, full: bool) -> None:
        self.address = address
        self.full = full
        self.scope = anyio.CancelScope()
        self.up = False
        self.began_us = 0
        self.silent_at_us = 0
        self.connection: Connection | None = None

    async def request(self, sequence: Callable[[], int], timeout_s: float) -> Exchange:
        """Request the changes after a version of the list, and wait for the response to begin.

        Args:
            sequence: Returns that version; called once the connection is open, because another watch may
                change the version until then.
            timeout_s: The time-out in seconds until the response begins.

        Raises:
            OSError: Discovery cannot be reached, or does not answer in time (TimeoutError).
            ValueError: The response is malformed, or its status is not 200.
        """
        with anyio.fail_after(timeout_s):
            self.connection = await dial(self.address)
            exchange = Exchange(self.connection, max_response_bytes=None)
            target = f"/api/targets?watch=1&from={0 if self.full else sequence()}"
            await exchange.send_request("GET", target, self.address)
            status, _ = await exchange.read_response()
        if status != 200:
            raise ValueError(f"discovery answered with status {status}, expected 200")
        return exchange

    def close(self) -> None:
        """Close its connection."""
        if self.connection is not None:
            self.connection.close()
