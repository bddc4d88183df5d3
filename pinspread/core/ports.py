"""The core's small interfaces to what surrounds it: wires, discovery, replication, operators."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio

from pinspread.core.messages import Attempt, AttemptResult, DeliveryRules, Endpoint, FinalResult, Message
from pinspread.policy.settings import Settings


class EngineSettings(Protocol):
    """What the engine, and replication by way of it, read of the settings in effect."""

    @property
    def disk_bytes(self) -> int:
        """What the journal may take of the disk."""

    @property
    def policy_settings(self) -> Settings:
        """What the delivery policy goes by."""

    @property
    def delivery_rules(self) -> Mapping[str, DeliveryRules]:
        """The rules of each traffic class, by its name."""

    @property
    def tenants(self) -> Mapping[str, int]:
        """The place of each tenant in the policy's settings, by its name."""

    @property
    def max_retry_after_ms(self) -> int:
        """The longest Retry-After that a client is given, in milliseconds."""


class Transport(Protocol):
    """Reaches the endpoints of one scheme.

    What goes wrong on the way is an outcome, not an error. An error that is raised all the same is logged as
    a fault, and the attempt counts as one that may have run if it was in the journal as started.
    """

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt, once.

        `attempt.check_before_write()` is called right before the first byte is written, with nothing awaited
        in between; where it gives a reason nothing is written, and the outcome is NOT_SENT with the reason as
        its note.
        """

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Make several attempts at one endpoint as one call; return their results in the same order.

        It is used only for kinds of endpoints whose settings allow it. Each attempt is checked as in `send`,
        and those that may not be written are left out of the call.
        """

    async def check_health(self, endpoint: Endpoint, check_before_write: Callable[[], str]) -> AttemptResult:
        """Ask an endpoint how it is, unless `check_before_write` gives a reason against it right before."""

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""

    def forget(self, endpoint: Endpoint) -> None:
        """Keep nothing of an endpoint that has been removed, once nothing is in flight to it."""


class Discovery(Protocol):
    """Reports endpoints to the engine by `update_endpoints`.

    Attributes:
        first_answer: Is set once the list as it is now has been read, or can't be had.
    """

    first_answer: anyio.Event

    def start(self) -> None:
        """Report what is known without asking anybody."""

    def snapshot(self) -> dict[str, Any]:
        """Return what another process needs to continue from here, apart from the list itself."""

    def resume(self, found: dict[str, Any]) -> None:
        """Follow on from another process's snapshot, in place of `start`."""

    def poll(self) -> None:
        """The policy wants the changes of the list; one `update_endpoints` answers."""

    def apply_settings(self, settings: Any) -> None:
        """Have other settings count from now on."""

    def change_address(self, address: Any) -> None:
        """Follow the list at another place from now on."""

    async def run(self) -> None:
        """Follow the changes until cancelled."""


class Front(Protocol):
    """Accepts messages from clients and notifies them of the final results.

    Attributes:
        reports_delivery: Whether clients are notified of DELIVERED too.
        ordered_by_ack: Whether the next message of a key waits until the client has acknowledged the
            notification of the one before.
    """

    reports_delivery: bool
    ordered_by_ack: bool

    async def notify(self, message: Message, final: FinalResult) -> None:
        """Notify the client; return once it has acknowledged, and retry until then."""


class JournalObserver(Protocol):
    """Is given every byte of the journal, right after it was written."""

    def appended(self, record: bytes) -> None:
        """These records were added at the end of the file."""

    def rewritten(self, data: bytes) -> None:
        """The file was replaced by one of this content."""


class EndpointAdmin(Protocol):
    """What the operators' server may ask of the engine."""

    def ready(self) -> bool:
        """Return whether this process serves."""

    async def disable(self, id_: str) -> bool:
        """Take an endpoint out of use; return false if none is known by that id.

        It is in the journal on return.

        Raises:
            RejectedError: This process does not serve yet.
            JournalFullError: It could not be recorded, and is not done.
        """

    async def enable(self, id_: str) -> bool:
        """Use an endpoint again; return false if none is known by that id. Raises what `disable` raises."""


class Successor(Protocol):
    """The process that owns everything once this one has handed over, as this one reaches it."""

    def attempt_ended(self, number: int, attempt: int, outcome: AttemptResult) -> None:
        """Report that an attempt of this process has ended: its message's number, its own, its result."""

    def apply_retry_after(self, id_: str, retry_after_us: int) -> None:
        """Report that an endpoint said to wait for so many microseconds."""

    def health_check_ended(self, id_: str, outcome: AttemptResult) -> None:
        """Report that a health check of this process has ended."""

    async def set_blocked(self, id_: str, out: bool) -> bool:
        """Pass on what an operator asks of this process; return false if the id is unknown there.

        Raises:
            TimeoutError: There was no answer in time.
        """


class ReplicationService(Protocol):
    """Keeps copies of the journal on further nodes; the engine asks it before it promises anything."""

    def blocked_reason(self) -> str:
        """Return why nothing may be promised or sent just now; empty if all is well."""

    async def wait_replicated(self) -> bool:
        """Wait, within bounds, until all that the journal holds is replicated; return whether it is."""


class BackgroundService(Protocol):
    """A part that runs next to the engine where a file turns it on, as membership is.

    Attributes:
        name: The name under which the operators' server shows its `view()`.
    """

    name: str

    def attach(self, engine: Any) -> None:
        """The engine is there, and nothing of it runs yet."""

    async def before_recovery(self) -> None:
        """It runs already; return once what is owed may be read and served."""

    async def open(self) -> None:
        """Take what it needs before serving begins.

        Raises:
            OSError: It can't be had.
        """

    async def run(self) -> None:
        """Run until cancelled."""

    async def announce_departure(self) -> None:
        """SIGTERM came: tell others, while the engine finishes what is in flight."""

    async def close(self) -> None:
        """All that was in flight has ended: do briefly what could not be done before."""

    def view(self) -> dict[str, Any]:
        """Return what the operators' server shows of it, as JSON has it."""
