"""What the parts of one delivery engine share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ParamSpec

from anyio.abc import TaskGroup

from pinspread.core.clock import Clock
from pinspread.core.event_queue import EventQueue
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.core.message_table import MessageTable
from pinspread.core.ports import EngineSettings, Front, ReplicationService, Successor, Transport
from pinspread.core.time_units import US_PER_S
from pinspread.errors import JournalFullError

POLL_S = 0.02  # between two questions whether replication still blocks what waits for it

P = ParamSpec("P")


@dataclass(slots=True)
class EngineContext:
    """The surroundings of the engine, and where its process stands.

    Attributes:
        settings: The settings in effect.
        clock: The clock of the process.
        journal: Where all that is owed is recorded.
        events: The events for the policy's next turn.
        messages: What has been accepted and not ended.
        fronts: The fronts, by the name that messages bear.
        transports: The transports, by the scheme that endpoints name.
        replication: Replicates the journal, where a file turns that on.
        successor: The process that owns everything from now on, once this one has handed over.
        serving: All that is owed is known, and clients are served.
        stopping: The process is to end: nothing is accepted or sent any more.
        tasks: Where the engine's tasks run; it is there as long as the engine runs.
    """

    settings: EngineSettings
    clock: Clock
    journal: Journal
    events: EventQueue = field(default_factory=EventQueue)
    messages: MessageTable = field(default_factory=MessageTable)
    fronts: dict[str, Front] = field(default_factory=dict)
    transports: dict[str, Transport] = field(default_factory=dict)
    replication: ReplicationService | None = None
    successor: Successor | None = None
    serving: bool = False
    stopping: bool = False
    tasks: TaskGroup = field(init=False)

    def seconds_to(self, at_us: int) -> float:
        """Return the seconds until a time of the monotonic clock, which may have passed."""
        return max(0, at_us - self.clock.now()) / US_PER_S

    def record(self, write: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
        """Write to the journal what has happened whether it can be recorded or not."""
        if self.successor:
            return  # two processes would write to one file; the successor records what is reported to it
        try:
            write(*args, **kwargs)
        except JournalFullError as error:
            log("journal_full", error=str(error))  # the next rewrite holds what memory holds
