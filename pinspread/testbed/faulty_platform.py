"""The platform: discovery, and the receiver of notifications, whose answers may be faulty."""

from typing import Any, NamedTuple

import anyio
import orjson

from pinspread import sockets
from pinspread.testbed.delivery_ledger import DeliveryLedger
from pinspread.testbed.endpoint_stand_in import reset_connection
from pinspread.testbed.faulty_endpoint import FaultyServer, JudgedRequest, Plan
from pinspread.testbed.platform_stand_in import DRAINING, EMPTY_LINE_INTERVAL_S, READY, WATCH_HEAD
from pinspread.testbed.stand_ins import Answer, ReceivedRequest, Response

NOTIFICATION_PATH = "/v2/finals"
ACKNOWLEDGED_STATUS = 204


class _Notifications(NamedTuple):
    """The notifications of one POST, which count once they are acknowledged."""

    ledger: DeliveryLedger
    message_ids: list[str]

    def answered(self, status: int) -> None:
        if status == ACKNOWLEDGED_STATUS:
            for message_id in self.message_ids:
                self.ledger.notified(message_id)

    def disconnected(self) -> None:
        """Do nothing: without an answer nothing was acknowledged."""


class FaultyPlatform(FaultyServer):
    """The platform: it receives notifications, and its discovery tells of the endpoints.

    Args:
        ledger: Receives each acknowledged notification, and drains when they are told.
        plan: Gives the answer to each POST of notifications.

    Attributes:
        hosts: The entries of the endpoint list by id; while there are none, discovery never answers.
        sequence: The version of the list.
    """

    def __init__(self, ledger: DeliveryLedger, plan: Plan) -> None:
        super().__init__(ledger, plan)
        self.hosts: dict[str, dict[str, Any]] = {}
        self.sequence = 1
        self._watches: set[sockets.Connection] = set()
        self._last_line = b""

    def change(self, name: str, health: str) -> None:
        """Change an endpoint's health, and tell the open watches."""
        if health == READY:
            self._ledger.endpoint_ready(name)
        self.sequence += 1
        self.hosts[name] = self.hosts[name] | {"health": health}
        line = self._line([self.hosts[name]], whole=False)
        self._write_to_watches(line)
        if health == DRAINING:
            self._ledger.endpoint_draining(name)

    def repeat_last_line(self) -> None:
        """Write the line before the last change once more, on the open watches."""
        self._write_to_watches(self._last_line)

    def end_watches(self) -> None:
        """Reset all open watches."""
        watches, self._watches = self._watches, set()
        for connection in watches:
            reset_connection(connection)

    def _line(self, hosts: list[dict[str, Any]], whole: bool) -> bytes:
        return orjson.dumps({"seq": self.sequence, "whole": whole, "hosts": hosts}) + b"\n"

    def _write_to_watches(self, line: bytes) -> None:
        if not line:
            return
        for connection in self._watches:
            connection.try_write(b"%x\r\n%s\r\n" % (len(line), line))

    def reply(self, request: ReceivedRequest, connection: sockets.Connection, first: bool) -> Answer:
        """Answer a watch with the whole list and then its changes."""
        return self._watch(connection) if self.hosts else anyio.sleep_forever()

    async def _watch(self, connection: sockets.Connection) -> Response:
        line = self._line(list(self.hosts.values()), whole=True)
        self._last_line = line
        await connection.write(b"%s%x\r\n%s\r\n" % (WATCH_HEAD, len(line), line))
        self._watches.add(connection)
        try:
            while not connection.is_finished():
                await anyio.sleep(EMPTY_LINE_INTERVAL_S)
                connection.try_write(b"1\r\n\n\r\n")
        finally:
            self._watches.discard(connection)
        return None

    def judge(self, request: ReceivedRequest, connection: sockets.Connection) -> JudgedRequest | None:
        """Report notifications; a request to discovery is not judged."""
        if request.target != NOTIFICATION_PATH:
            return None
        ids = [orjson.loads(line)["id"] for line in request.body.splitlines()]
        for message_id in ids:
            self._ledger.notification_arrived(message_id)
        return _Notifications(self._ledger, ids)
