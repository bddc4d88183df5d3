"""The tasks that serve clients and follow the endpoint list; a hand-over pauses them."""

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
    """Starts, pauses and resumes what acts towards clients and discovery.

    Attributes:
        listeners: The listening sockets of clients, by the name of their front.
    """

    def __init__(self, components: Components, tasks: "TaskGroup") -> None:
        self.listeners: dict[str, socket.socket] = {}
        self._components = components
        self._tasks = tasks
        self._pausable: list[anyio.CancelScope] = []

    async def open_listeners(
        self, options: ServiceOptions, transferred: Mapping[str, socket.socket], leaving: anyio.Event
    ) -> None:
        """Listen for clients: from here on PING is answered, since all that is owed is known again."""
        settings, amqp = options.settings, options.amqp.listen
        if settings.listen:
            inherited = inherited_listener(settings.inherited_listener_descriptor)
            self.listeners[RESP] = inherited or await listen(settings.listen, leaving)
        if amqp:
            self.listeners[AMQP] = transferred.get(AMQP) or await listen(amqp, leaving)

    def follow_discovery(self) -> None:
        """Follow the endpoint list, and send notifications."""
        self._start_pausable(self._components.notifications.run)
        self._start_pausable(self._components.discovery.run)

    def serve_clients(self, connections: list[IdleConnection]) -> None:
        """Accept clients, and serve those whose connections are there already."""
        if RESP in self.listeners:
            self._tasks.start_soon(self._components.resp_front.run, self.listeners[RESP], connections)
        if AMQP in self.listeners:
            self._start_pausable(self._components.amqp_front.run, self.listeners[AMQP])

    async def pause(self) -> list[IdleConnection]:
        """Stop acting; returns the connections of RESP clients, with what was read and not answered."""
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
