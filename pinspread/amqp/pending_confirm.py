"""The state of a publish to a broker until its result is known."""

import anyio

from pinspread.core.messages import AttemptResult
from pinspread.policy.events import Outcome

UNROUTABLE = "returned as unroutable"


class PendingConfirm:
    """The state of one publish.

    Attributes:
        key: Message id and attempt number, by which a return identifies the publish; None before the write.
        started: Whether the write has started, so that the first byte may have been written.
        written: Whether the last byte was written; from then on the publish may take effect.
        returned: Whether the broker returned the message as unroutable, with the confirm still to come.
        result: The result of the attempt; None until it is known.
    """

    __slots__ = ("_resolved", "key", "result", "returned", "started", "written")

    def __init__(self) -> None:
        self.key: tuple[str, int] | None = None
        self.started = False
        self.written = False
        self.returned = False
        self.result: AttemptResult | None = None
        self._resolved = anyio.Event()

    def resolve(self, outcome: Outcome, note: str = "") -> None:
        """Set the result, unless it is known already."""
        if self.result is None:
            self.result = AttemptResult(outcome, note=note)
            self._resolved.set()

    async def wait(self) -> AttemptResult:
        """Wait until the result is known, and return it."""
        await self._resolved.wait()
        assert self.result is not None  # resolve() sets it before the event
        return self.result

    def proven_result(self) -> AttemptResult | None:
        """Return the result that is proven when the wait for the confirm times out; None if none is."""
        if self.result is None and self.returned:
            return AttemptResult(Outcome.OVERLOADED, note=UNROUTABLE)
        return self.result

    def confirm(self, positive: bool) -> None:
        """Handle the broker's ack (positive) or nack.

        A return proves that the message was not delivered, and comes before the confirm. An ack proves
        delivery. A nack proves neither, so the message may have been delivered.
        """
        if self.returned:
            self.resolve(Outcome.OVERLOADED, UNROUTABLE)
        elif positive:
            self.resolve(Outcome.OK)
        else:
            self.resolve(Outcome.ERROR, "nack")

    def connection_closed(self, reason: str) -> None:
        """Resolve the publish on the loss of the connection: only one written in full may have run."""
        self.resolve(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, reason)
