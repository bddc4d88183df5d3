"""The tasks that serve clients and follow the endpoint list; a handover pauses them."""

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING

import anyio

from pinspread.amqp.server import FRONT_NAME as AMQP
from pinspread.resp.front import NAME as RESP
from pinspread.service.components import Components
from pinspread.service.listeners import inherited_listener, listen
from pinspread.service.options import ServiceOptions
from pinspread.sockets import IdleConnection

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


class ServingTasks:
    """Starts, pauses and resumes the tasks that serve clients and follow discovery.

    Attributes:
        listeners: The listening sockets for clients, by the name of the front.
    """

    def __init__(self, components: Components, tasks: "TaskGroup") -> None:
        self.listeners: dict[str, socket.socket] = {}
        self._components = components
        self._tasks = tasks
        self._pausable: list[anyio.CancelScope] = []

    async def open_listeners(
        self, options: ServiceOptions, transferred: Mapping[str, socket.socket], leaving: anyio.Event
    ) -> None:
        """Listen for clients. From here on PING is answered, since all open messages are known again."""
        settings, amqp = options.settings, options.amqp.listen
        if settings.listen:
            inherited = inherited_listener(settings.inherited_listener_descriptor)
            self._components.resp_front.shares_listener = inherited is not None
            self.listeners[RESP] = inherited or await listen(settings.listen, leaving)
        if amqp:
            self.listeners[AMQP] = transferred.get(AMQP) or await listen(amqp, leaving)

    def follow_discovery(self) -> None:
        """Start to follow the endpoint list and to send notifications."""
        self._start_pausable(self._components.notifications.run)
        self._start_pausable(self._components.discovery.run)

    def serve_clients(self, connections: list[IdleConnection]) -> None:
        """Start to accept clients, and to serve the connections that are already open."""
        if RESP in self.listeners:
            self._tasks.start_soon(self._components.resp_front.run, self.listeners[RESP], connections)
        if AMQP in self.listeners:
            self._start_pausable(self._components.amqp_front.run, self.listeners[AMQP])

    async def pause(self) -> list[IdleConnection]:
        """Stop the tasks; return the RESP clients' connections with the input that was not processed."""
        await self._components.amqp_front.close()
        scopes, self._pausable = self._pausable, []
        for scope in scopes:
            scope.cancel()
        return await self._components.resp_front.detach_connections()

    def _start_pausable(self, run: Callable[..., Awaitable[None]], *arguments: object) -> None:
        scope = anyio.CancelScope()
        self._pausable.append(scope)
        self._tasks.start_soon(_run_within, scope, run, *arguments)


async def _run_within(
    scope: anyio.CancelScope, run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    with scope:
        await run(*arguments)
