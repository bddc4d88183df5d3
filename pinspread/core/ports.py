"""The core's small interfaces to whatever speaks a wire."""

from typing import Protocol

from pinspread.core.messages import Attempt, AttemptResult, Endpoint, FinalResult, Message


class Transport(Protocol):
    """Reaches next hops of one scheme."""

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Run one attempt, once; `attempt.check_before_write()` is asked right before the first byte."""

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Run several branches to one next hop as one call; only for kinds whose settings allow it."""

    async def check_health(self, endpoint: Endpoint, check_before_write) -> AttemptResult:
        """Ask a next hop how it is."""

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close idle connections to it."""

    def forget(self, endpoint: Endpoint) -> None:
        """It is gone: keep nothing of it once nothing is out."""


class Discovery(Protocol):
    """Tells the core of next hops, by its `learn`; `first_answer` is set once it has asked."""

    first_answer: object  # anyio.Event

    def start(self) -> None:
        """Tell what is known without asking."""

    def snapshot(self) -> dict:
        """What the next process needs to follow on from here, beside the list itself."""

    def resume(self, found: dict) -> None:
        """Follow on from where the process before was, in place of `start`."""

    def poll(self) -> None:
        """The module wants the list's changes; one `learn` answers."""

    def apply_settings(self, told) -> None:
        """Other settings count from now on."""

    def change_address(self, address) -> None:
        """Discovery is elsewhere from now on."""

    async def run(self) -> None:
        """Follow the changes until cancelled."""


class Front(Protocol):
    """Takes transactions and tells their callers how they ended."""

    reports_delivery: bool  # whether DELIVERED is told too
    ordered_by_notice: bool  # whether a key's next message waits until an end has been heard

    async def notify(self, message: Message, final: FinalResult) -> None:
        """Tell the end; returns once it was heard, and retries until then."""


class EndpointAdmin(Protocol):
    """What the operators' door may ask of the core."""

    def ready(self) -> bool:
        """Whether this process serves."""

    async def disable(self, id_: str) -> bool:
        """Take an endpoint out; false if none is known by that id. It is in the journal on return."""

    async def enable(self, id_: str) -> bool:
        """Use it again; false if none is known by that id."""


class Successor(Protocol):
    """The process that owns all once this one has handed over, as this one reaches it."""

    def attempt_ended(self, number: int, attempt: int, outcome: AttemptResult) -> None:
        """A branch that was out here has ended."""

    def apply_retry_after(self, id_: str, wait_us: int) -> None:
        """A next hop told to wait."""

    def health_check_ended(self, id_: str, outcome: AttemptResult) -> None:
        """A probe that was out here has ended."""

    async def set_blocked(self, id_: str, out: bool) -> bool:
        """Pass on what an operator asks here; false if the id is unknown there."""


class ReplicationService(Protocol):
    """Keeps what is owed on further couriers; the core asks it before it promises anything."""

    def blocked_reason(self) -> str:
        """Why nothing may be promised or sent just now; empty if all is well."""

    async def wait_replicated(self) -> bool:
        """Wait, within bounds, until all that the journal holds by now is copied; whether it is."""


class BackgroundService(Protocol):
    """A part beside serving that a file turns on, as membership; the door shows `view()`."""

    name: str

    def attach(self, engine) -> None:
        """The core is there."""

    async def before_recovery(self) -> None:
        """It runs; returns once what is owed may be read and served."""

    async def open(self) -> None:
        """Take what it needs before serving begins; OSError if it cannot."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def announce_departure(self) -> None:
        """SIGTERM came: say goodbye, beside the core's end."""

    async def close(self) -> None:
        """All that was out has ended: what could not go before, briefly."""

    def view(self) -> dict:
        """What the door shows of it."""
