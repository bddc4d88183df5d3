"""A publish to a broker, until it is known what became of it."""

import anyio

from pinspread.core.messages import AttemptResult
from pinspread.policy.events import Outcome

UNROUTABLE = "returned as unroutable"


class PendingConfirm:
    """What is known of one publish.

    Attributes:
        key: Message id and attempt number, by which a return names the publish; None before it is written.
        started: Its first byte may have been written.
        written: Its last byte was: from now on it may take effect.
        returned: The broker has returned it as unroutable, and its confirm is still to come.
        result: How the attempt ended; None until that is known.
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
        """Settle how it ended, unless that is known already."""
        if self.result is None:
            self.result = AttemptResult(outcome, note=note)
            self._resolved.set()

    async def wait(self) -> AttemptResult:
        """Wait until it is known how it ended."""
        await self._resolved.wait()
        assert self.result is not None  # it is set with the event
        return self.result

    def proven_result(self) -> AttemptResult | None:
        """What is proven when the time for the confirm is over; None if nothing is."""
        if self.result is None and self.returned:
            return AttemptResult(Outcome.OVERLOADED, note=UNROUTABLE)
        return self.result

    def confirm(self, positive: bool) -> None:
        """Take the broker's confirm.

        A return proves that the publish never ran, and comes before its confirm. An ack proves delivery; a
        nack proves nothing, so the publish may have run.
        """
        if self.returned:
            self.resolve(Outcome.OVERLOADED, UNROUTABLE)
        elif positive:
            self.resolve(Outcome.OK)
        else:
            self.resolve(Outcome.ERROR, "nack")

    def connection_closed(self, reason: str) -> None:
        """Take the end of the connection: what was written in full may have run, the rest never did."""
        self.resolve(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, reason)
