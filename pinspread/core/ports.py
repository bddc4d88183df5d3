"""The core's interfaces to its surroundings: protocols, discovery, replication and operators."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio

from pinspread.core.messages import Attempt, AttemptResult, DeliveryRules, Endpoint, FinalResult, Message
from pinspread.policy.settings import Settings


class EngineSettings(Protocol):
    """The settings in effect that the engine reads, and that replication reads through it."""

    @property
    def disk_bytes(self) -> int:
        """The disk space that the journal may take, in bytes."""

    @property
    def policy_settings(self) -> Settings:
        """The settings of the delivery policy."""

    @property
    def delivery_rules(self) -> Mapping[str, DeliveryRules]:
        """The delivery rules of each traffic class, by the name of the class."""

    @property
    def tenants(self) -> Mapping[str, int]:
        """The index of each tenant in the policy's settings, by the name of the tenant."""

    @property
    def max_retry_after_ms(self) -> int:
        """The longest Retry-After that a client is given, in milliseconds."""


class Transport(Protocol):
    """Reaches the endpoints of one scheme.

    Failures of a call are returned as outcomes and not raised. If an exception is raised all the same, it is
    logged as a fault, and the attempt counts as one that may have run if the journal had it as started.
    """

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt, once.

        `attempt.check_before_write()` is called right before the first byte is written, with nothing awaited
        in between. If it returns a reason, nothing is written, and the outcome is NOT_SENT with the reason as
        its note.
        """

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Make several attempts at one endpoint as one call; return their results in the same order.

        Called only for kinds of endpoints whose settings allow it. Each attempt is checked as in `send`, and
        attempts that may not be written are left out of the call.
        """

    async def check_health(self, endpoint: Endpoint, check_before_write: Callable[[], str]) -> AttemptResult:
        """Query an endpoint's health, unless `check_before_write`, called right before, returns a reason."""

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""

    def forget(self, endpoint: Endpoint) -> None:
        """Discard all state of an endpoint that has been removed, once nothing is in flight to it."""


class Discovery(Protocol):
    """Reports endpoints to the engine by calling `update_endpoints`.

    Attributes:
        first_answer: Set once the current endpoint list has been read, or could not be obtained.
    """

    first_answer: anyio.Event

    def start(self) -> None:
        """Report the endpoints that are known without a query."""

    def snapshot(self) -> dict[str, Any]:
        """Return what a successor process needs to continue from here, besides the list itself."""

    def resume(self, discovery_state: dict[str, Any]) -> None:
        """Continue from another process's snapshot; called instead of `start`."""

    def poll(self) -> None:
        """Get the changes of the list, for the policy; they are reported by one `update_endpoints` call."""

    def apply_settings(self, settings: Any) -> None:
        """Apply other settings from now on."""

    def change_address(self, address: Any) -> None:
        """Use the list at another address from now on."""

    async def run(self) -> None:
        """Follow the changes of the list until cancelled."""


class Front(Protocol):
    """Accepts messages from clients and notifies them of the final results.

    Attributes:
        reports_delivery: Whether clients are also notified of the result DELIVERED.
        ordered_by_ack: Whether the next message of a key waits until the client has acknowledged the
            notification of the previous message.
    """

    reports_delivery: bool
    ordered_by_ack: bool

    async def notify(self, message: Message, final: FinalResult) -> None:
        """Notify the client, and retry until it has acknowledged; return then."""


class JournalObserver(Protocol):
    """Receives every byte of the journal, right after it was written."""

    def appended(self, record: bytes) -> None:
        """Handle records that were appended to the file."""

    def rewritten(self, data: bytes) -> None:
        """Handle that the file was replaced by one with this content."""


class EndpointAdmin(Protocol):
    """The operations of the engine that the admin server uses."""

    def ready(self) -> bool:
        """Return whether this process serves."""

    async def disable(self, endpoint_id: str) -> bool:
        """Disable an endpoint; return false if no endpoint with this id is known.

        The change is in the journal when this returns.

        Raises:
            RejectedError: This process does not serve yet.
            JournalFullError: The change could not be recorded, and was not made.
        """

    async def enable(self, endpoint_id: str) -> bool:
        """Enable an endpoint; return false if its id is unknown. Raises the same errors as `disable`."""


class Successor(Protocol):
    """The process that owns all messages once this one has handed over, as this process reaches it."""

    def attempt_ended(self, number: int, attempt_number: int, result: AttemptResult) -> None:
        """Report the result of an attempt of this process; `number` is that of its message."""

    def apply_retry_after(self, endpoint_id: str, retry_after_us: int) -> None:
        """Report a Retry-After of an endpoint, in microseconds."""

    def health_check_ended(self, endpoint_id: str, result: AttemptResult) -> None:
        """Report the result of a health check of this process."""

    async def set_blocked(self, endpoint_id: str, blocked: bool) -> bool:
        """Forward an operator's request to this process; return false if the id is unknown there.

        Raises:
            TimeoutError: The successor did not answer in time.
        """


class ReplicationService(Protocol):
    """Keeps copies of the journal on other nodes; the engine asks it before it acknowledges anything."""

    def blocked_reason(self) -> str:
        """Return why nothing may be acknowledged or sent at present; empty if it may."""

    async def wait_replicated(self) -> bool:
        """Wait, for a limited time, until the whole journal is replicated; return whether it is."""


class BackgroundService(Protocol):
    """A service that runs beside the engine if the application's file turns it on, such as membership.

    Attributes:
        name: The name under which the admin server shows its `view()`.
    """

    name: str

    def attach(self, engine: Any) -> None:
        """Receive the engine, which is not running yet."""

    async def before_recovery(self) -> None:
        """Return once the pending messages may be read and served; called while the service already runs."""

    async def open(self) -> None:
        """Acquire the resources that are needed before serving begins.

        Raises:
            OSError: A resource is not available.
        """

    async def run(self) -> None:
        """Run the service until cancelled."""

    async def announce_departure(self) -> None:
        """Announce the departure to other nodes, after SIGTERM and while attempts in flight finish."""

    async def close(self) -> None:
        """Do, in a short time, what had to wait until nothing was in flight."""

    def view(self) -> dict[str, Any]:
        """Return what the admin server shows of the service, as values for JSON."""
