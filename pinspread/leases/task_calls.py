"""Calls of fleet-wide tasks: an HTTP POST with the fencing token while this member holds the lease."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from pinspread.sockets import split_address

CALL_TIMEOUT_S = 1.0  # the connection, the request and its answer
_MAX_ANSWER_BYTES = 256  # of which the status line is read
_MAX_ERROR_CHARS = 200  # in the log
_STATUS_OK = b"200"
_STATUS_NEWER_TOKEN = b"409"


@dataclass(frozen=True)
class LeaseTask:
    """A task that one member of the fleet does at a time.

    Attributes:
        name: The task's name.
        address: `host:port` that the lease holder calls; if empty, the lease is held and nothing is called.
        every_us: The time between calls, in microseconds.
    """

    name: str
    address: str = ""
    every_us: int = 1_000_000


class TaskCaller:
    """Calls the address of one task while this member holds its lease.

    Args:
        task: The task; it has an address.
        member_id: This member.
        fencing_token: Returns the token of a task that this member may act on now, else 0.
        on_newer_token: Called with the task's name and our token when the resource has seen a newer one.
        log_event: Logs an event with the task's name, the token and further fields.
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
            if not token:  # the lease has ended while the connection was made
                return
            await stream.send(self._request(token))
            status = (await stream.receive(_MAX_ANSWER_BYTES)).split(b" ")[1:2]
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
