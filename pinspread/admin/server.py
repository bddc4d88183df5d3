"""The admin server for operators and their tools: HTTP/1.1 with one request a connection."""

import socket
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

import anyio
import h11
import orjson

from pinspread.admin.limiter import OldestFirstLimiter
from pinspread.admin.responses import Response, method_not_allowed
from pinspread.core.log import log
from pinspread.core.ports import BackgroundService, EndpointAdmin
from pinspread.errors import JournalFullError, RejectedError
from pinspread.sockets import Connection, accept_forever

REQUEST_TIMEOUT_S = 5.0  # for a client to send its request, and for its execution
MAX_HEAD_BYTES = 8 * 1024
MAX_SHOWN_ID = 100  # characters of an unknown id in the response
FIRST_ERROR_STATUS = 400
READY, ENDPOINTS = "/-/ready", "/-/endpoints/"
DISABLE, ENABLE = "disable", "enable"


class AdminServer:
    """Reports readiness and the views of background services, and disables and enables endpoints.

    Args:
        endpoints: Executes the requests.
        descriptors: Maximum number of open descriptors of the process.
        background_services: The services whose views are shown, each at `/-/NAME`.

    Attributes:
        limiter: The limit on connections to the server.
    """

    def __init__(
        self,
        endpoints: EndpointAdmin,
        descriptors: int = 1024,
        background_services: Iterable[BackgroundService] = (),
    ) -> None:
        self.endpoints = endpoints
        self.background_services = {f"/-/{service.name}": service for service in background_services}
        self.limiter = OldestFirstLimiter(descriptors)

    async def run(self, sock: socket.socket) -> None:
        """Accept and answer until cancelled; the listening socket is closed at the end."""
        try:
            async with anyio.create_task_group() as tasks:
                await accept_forever(sock, tasks, self.serve, self.limiter)
        finally:
            sock.close()

    async def serve(self, connection: Connection, _client: Connection) -> None:
        """Read one request, answer it, and end the connection."""
        try:
            response = await self._respond(connection)
            if response is None:
                return
            if response.status >= FIRST_ERROR_STATUS:
                log("admin_refused", status=response.status, reason=response.text)
            await connection.write(response.encode())
            await connection.linger()
        except OSError:
            pass  # the client has closed the connection
        except Exception as error:
            # An unexpected error in one request must not end the process.
            log("internal_error", where="admin request", error=repr(error))
        finally:
            connection.close()

    async def _respond(self, connection: Connection) -> Response | None:
        """Read a request and execute it; None if the client ended the connection before it was complete.

        Raises:
            OSError: The connection is broken.
        """
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                request = await _read_request(connection)
                return None if request is None else await self._answer(request)
        except TimeoutError:
            return Response(408, "the call did not come whole, or was not done, in time: say it again")
        except (h11.RemoteProtocolError, UnicodeDecodeError) as error:
            return Response(400, f"the call cannot be read: {error}")
        except (RejectedError, JournalFullError) as error:
            return Response(503, f"not done: {error}; try again in a second")

    async def _answer(self, request: h11.Request) -> Response:
        method = request.method.decode("ascii")
        path = request.target.decode("ascii").partition("?")[0]
        if path == READY:
            return self._show_ready(method)
        if path in self.background_services:
            return self._show_service(path, method)
        return await self._switch_endpoint(path, method)

    def _show_ready(self, method: str) -> Response:
        if method != "GET":
            return method_not_allowed(READY, "GET")
        if not self.endpoints.ready():
            return Response(503, "not ready: ask again soon")
        return Response(200, "ready")

    def _show_service(self, path: str, method: str) -> Response:
        if method != "GET":
            return method_not_allowed(path, "GET")
        return Response(200, orjson.dumps(self.background_services[path].view()).decode())

    async def _switch_endpoint(self, path: str, method: str) -> Response:
        name, _, action = path.removeprefix(ENDPOINTS).rpartition("/")
        names_endpoint = path.startswith(ENDPOINTS) and name and "/" not in name
        if not names_endpoint or action not in (DISABLE, ENABLE):
            return Response(
                404, f"unknown path: try {READY}, or {ENDPOINTS}ID/{DISABLE} and {ENDPOINTS}ID/{ENABLE}"
            )
        if method != "PUT":
            return method_not_allowed(f"{ENDPOINTS}ID/{action}", "PUT")
        id_ = unquote_to_bytes(name).decode("utf-8")
        switch = self.endpoints.disable if action == DISABLE else self.endpoints.enable
        if not await switch(id_):
            shown = id_[:MAX_SHOWN_ID]
            return Response(404, f"unknown endpoint {shown!r}: take the id as discovery's list has it")
        return Response(200, f"{id_} is {'out' if action == DISABLE else 'back'}")


async def _read_request(connection: Connection) -> h11.Request | None:
    """Read the head of a request; None if the client ended the connection.

    A body and further requests are not read.
    """
    protocol = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
    while True:
        event = protocol.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        protocol.receive_data(await connection.read())
