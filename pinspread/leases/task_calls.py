"""Calls the addresses of fleet-wide tasks whose leases are held, by HTTP POST with the fencing token."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from pinspread.sockets import split_address

CALL_TIMEOUT_S = 1.0  # for connecting, sending the request and receiving the response
_MAX_RESPONSE_BYTES = 256  # only the status line is read
_MAX_ERROR_CHARS = 200  # in the log
_STATUS_OK = b"200"
_STATUS_NEWER_TOKEN = b"409"


@dataclass(frozen=True)
class LeaseTask:
    """A task that only one member of the fleet performs at a time.

    Attributes:
        name: The task's name.
        address: `host:port` that the lease holder calls; if empty, the lease is held but nothing is called.
        every_us: The time between two calls, in microseconds.
    """

    name: str
    address: str = ""
    every_us: int = 1_000_000


class TaskCaller:
    """Calls the address of one task while this member holds its lease.

    Args:
        task: The task, which must have an address.
        member_id: The id of this member.
        fencing_token: Returns the fencing token of a task if this member may act on it now, else 0.
        on_newer_token: Called with the task's name and this member's token when the resource has refused it
            because it has seen a newer one.
        log_event: Logs an event, given the event, the task's name, the token and further fields.
    """

    def __init__(
        self,
        task: LeaseTask,
        member_id: str,
        *,
        fencing_token: Callable[[str], int],
        on_newer_token: Callable[[str, int], None],
        log_event: Callable[..., None],
    ):
        self.task = task
        self.member_id = member_id
        self._fencing_token = fencing_token
        self._on_newer_token = on_newer_token
        self._log_event = log_event

    async def run(self) -> None:
        """Call the task's address every `every_us` while the lease is held, until cancelled."""
        task = self.task
        while True:
            await anyio.sleep(task.every_us / 1e6)
            if not self._fencing_token(task.name):
                continue
            try:
                with anyio.fail_after(CALL_TIMEOUT_S):
                    await self._call()
            except (OSError, ValueError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
                token = self._fencing_token(task.name)
                self._log("lease_act_failed", token, error=repr(error)[:_MAX_ERROR_CHARS])

    async def _call(self) -> None:
        host, port = split_address(self.task.address)
        async with await anyio.connect_tcp(host, port) as stream:
            token = self._fencing_token(self.task.name)
            if not token:  # the lease ended while the connection was being made
                return
            await stream.send(self._request(token))
            status = (await stream.receive(_MAX_RESPONSE_BYTES)).split(b" ")[1:2]
        if status == [_STATUS_OK]:
            return
        shown = status[0].decode("ascii", "replace") if status else ""
        self._log("lease_act_refused", token, status=shown)
        if status == [_STATUS_NEWER_TOKEN] and self._fencing_token(self.task.name) == token:
            self._on_newer_token(self.task.name, token)

    def _request(self, token: int) -> bytes:
        lines = [
            f"POST /{self.task.name} HTTP/1.1",
            f"Host: {self.task.address}",
            f"Fencing-Token: {token}",
            f"Holder: {self.member_id}",
            "Content-Length: 0",
            "Connection: close",
            "",
            "",
        ]
        return "\r\n".join(lines).encode()

    def _log(self, event: str, token: int, **fields: Any) -> None:
        self._log_event(event, self.task.name, token, **fields)
