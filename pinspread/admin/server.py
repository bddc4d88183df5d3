"""The operators' door: one HTTP/1.1 call a connection, for staff and their tools."""

from urllib.parse import unquote_to_bytes

import anyio
import h11
import orjson

from pinspread.core.log import log
from pinspread.core.ports import EndpointAdmin
from pinspread.errors import JournalFullError, RejectedError
from pinspread.sockets import accept_forever

CALL_S = 5.0  # how long a caller may take to say its call
MOST_HEAD = 8 * 1024
MOST_CALLS = 32  # connections of the door
LEAST_CALLS = 4
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout"}
READY, ENDPOINTS = "/-/ready", "/-/endpoints/"


class AdminServer:
    """The listener and its callers."""

    def __init__(self, operable: EndpointAdmin, sockets=1024, background_services=()):
        self.operable = operable
        self.background_services = {f"/-/{c.name}": c for c in background_services}
        self.most = max(LEAST_CALLS, min(MOST_CALLS, sockets // 24))
        self.callers = {}  # connections, oldest first

    async def run(self, sock):
        """Accept and answer until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                await accept_forever(sock, tasks, self.serve, self)
        finally:
            sock.close()

    # --- the room that `accept_forever` asks: never full, the oldest gives way -----------------------

    def admit(self) -> bool:
        """Room for another: whoever has been silent longest gives way."""
        # Danger: hundreds of callers that say nothing would keep the staff out. A true call is there to be
        # read with its connection, many accepts before its turn to give way.
        if len(self.callers) >= self.most:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.shutdown()
        return True

    def add(self, connection):
        """Another caller."""
        self.callers[connection] = True
        return connection

    def remove(self, connection):
        """It has ended."""
        self.callers.pop(connection, None)

    # --- a call --------------------------------------------------------------------------------------

    async def serve(self, connection, _leg):
        """Read one call, answer it, end."""
        wire = h11.Connection(h11.SERVER, MOST_HEAD)
        try:
            try:
                with anyio.fail_after(CALL_S):
                    request = await self._request(connection, wire)
                if request is None:
                    return
                status, text = await self._answer(request)
            except TimeoutError:
                status, text = 408, "the call did not come whole, or was not done, in time: say it again"
            except (h11.RemoteProtocolError, UnicodeDecodeError) as error:
                status, text = 400, f"the call cannot be read: {error}"
            except (RejectedError, JournalFullError) as error:
                status, text = 503, f"not done: {error}; try again in a second"
            if status >= 400:
                log("admin_refused", status=status, why=text)
            await connection.write(_response(status, text))
            await connection.linger()
        except OSError:
            pass  # the caller is gone
        except Exception as error:
            # Danger: one call's trouble would end the process and all that it serves.
            log("fault", where="admin call", error=repr(error))
        finally:
            connection.close()

    async def _request(self, connection, wire):
        """The head of the call; None if the caller left. A body and further calls are not read."""
        while True:
            event = wire.next_event()
            if type(event) is h11.Request:
                return event
            if event is not h11.NEED_DATA:
                return None
            wire.receive_data(await connection.read())

    async def _answer(self, request):
        """Do what was asked: status and text."""
        method = request.method.decode("ascii")
        path = request.target.decode("ascii").partition("?")[0]
        if path == READY:
            if method != "GET":
                return 405, f"{READY} takes GET"
            return (200, "ready") if self.operable.ready() else (503, "not ready: ask again soon")
        if path in self.background_services:
            if method != "GET":
                return 405, f"{path} takes GET"
            return 200, orjson.dumps(self.background_services[path].view()).decode()
        name, _, word = path.removeprefix(ENDPOINTS).rpartition("/")
        if not path.startswith(ENDPOINTS) or not name or "/" in name or word not in ("disable", "enable"):
            return 404, f"unknown path: try {READY}, or {ENDPOINTS}ID/disable and {ENDPOINTS}ID/enable"
        if method != "PUT":
            return 405, f"{ENDPOINTS}ID/{word} takes PUT"
        id_ = unquote_to_bytes(name).decode("utf-8")
        if not await (self.operable.disable(id_) if word == "disable" else self.operable.enable(id_)):
            return 404, f"unknown endpoint {id_[:100]!r}: take the id as discovery's list has it"
        return 200, f"{id_} is {'out' if word == 'disable' else 'back'}"


def _response(status, text):
    body = text.encode("utf-8", "replace") + b"\n"
    reason = REASONS.get(status, "Service Unavailable")
    head = (
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n"
    )
    if status == 405:
        head += f"Allow: {'GET' if 'takes GET' in text else 'PUT'}\r\n"
    return head.encode() + b"\r\n" + body
