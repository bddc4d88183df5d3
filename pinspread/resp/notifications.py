"""Notifications of final results to the platform: `POST /v2/finals` with one JSON object a line."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from pinspread.core.log import log
from pinspread.http.exchange import Exchange
from pinspread.sockets import Connection, dial

PATH = "/v2/finals"
HEADERS = (("Connection", "close"), ("Content-Type", "application/x-ndjson"))
# For one POST with its response, which usually comes at once. The last value repeats.
POST_TIMEOUT_S = (0.1, 0.1, 0.1, 0.1, 0.2, 0.4, 1.0)
BACKOFF_S = (0.01, 0.02, 0.04, 0.08, 0.1, 0.2, 0.4)  # before each retry; the last value repeats
MAX_BATCH = 200  # notifications in one POST
ACKNOWLEDGED, MALFORMED = 204, 400
NO_RESPONSE = 0  # status of a POST that got no response


@dataclass(slots=True, eq=False)
class _Notification:
    line: bytes
    acknowledged: anyio.Event = field(default_factory=anyio.Event)


class NotificationSender:
    """Posts notifications, batched, and retries until each is acknowledged.

    Args:
        address: The platform's address for notifications, host:port.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._waiting: list[_Notification] = []
        self._wake = anyio.Event()

    def change_address(self, address: str) -> None:
        """Post to another address from now on, including notifications that are not acknowledged yet."""
        self.address = address

    async def send(self, line: bytes) -> None:
        """Post one line of JSON; returns once it is acknowledged, or rejected as malformed."""
        notification = _Notification(line)
        self._waiting.append(notification)
        self._wake.set()
        await notification.acknowledged.wait()

    async def run(self) -> None:
        """Post waiting notifications until cancelled."""
        failures = 0
        while True:
            await self._wake.wait()
            batch = self._waiting[:MAX_BATCH]
            status = await self._post_batch(batch, _nth(POST_TIMEOUT_S, failures))
            if status not in (ACKNOWLEDGED, MALFORMED):
                log("notifications_unacknowledged", status=status, waiting=len(self._waiting))
                await anyio.sleep(_nth(BACKOFF_S, failures))
                failures += 1
                continue
            failures = 0
            if status == MALFORMED:
                log("notification_refused", lines=[notification.line for notification in batch])
            del self._waiting[: len(batch)]
            log("notifications_acknowledged", status=status, lines=len(batch), waiting=len(self._waiting))
            for notification in batch:
                notification.acknowledged.set()
            if not self._waiting:
                self._wake = anyio.Event()

    async def _post_batch(self, batch: list[_Notification], timeout_s: float) -> int:
        """Post a batch and return the status; a batch rejected as malformed is posted line by line."""
        status = await self._post(b"\n".join(notification.line for notification in batch) + b"\n", timeout_s)
        if status != MALFORMED or len(batch) == 1:
            return status
        status = ACKNOWLEDGED
        for notification in batch:
            line_status = await self._post(notification.line + b"\n", timeout_s)
            status = line_status if line_status not in (ACKNOWLEDGED, MALFORMED) else status
        return status

    async def _post(self, body: bytes, timeout_s: float) -> int:
        """Post a body and return the status, `NO_RESPONSE` without one; repeating a notification is safe.

        Each POST has a connection of its own: on one that is used again, a late or repeated response to one
        batch would acknowledge the next, which the platform has never read.
        """
        address = self.address
        connection: Connection | None = None
        try:
            with anyio.fail_after(timeout_s):
                connection = await dial(address)
                exchange = Exchange(connection)
                await exchange.send_request("POST", PATH, address, HEADERS, body)
                status, _ = await exchange.read_response()
                await exchange.read_to_end()
        except (OSError, ValueError) as error:
            log("notifications_failed", address=address, error=str(error) or type(error).__name__)
            return NO_RESPONSE
        finally:
            if connection is not None:
                connection.close()
        return status


def _nth(values: Sequence[float], position: int) -> float:
    """Return the value at a position; the last value repeats."""
    return values[min(position, len(values) - 1)]
