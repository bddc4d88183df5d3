"""The state that the components of one delivery engine share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ParamSpec

import anyio
from anyio.abc import TaskGroup

from pinspread.core.clock import Clock
from pinspread.core.event_queue import EventQueue
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.core.message_table import MessageTable
from pinspread.core.ports import EngineSettings, Front, ReplicationService, Successor, Transport
from pinspread.core.time_units import US_PER_S
from pinspread.errors import JournalFullError

REPAIR_INTERVAL_S = 0.1  # between two tries to write the journal anew
POLL_S = 0.02  # between two checks whether replication still blocks waiting attempts and notifications

P = ParamSpec("P")


@dataclass(slots=True)
class EngineContext:
    """What the engine's components use in common, and the state of the process.

    Attributes:
        settings: The settings in effect.
        clock: The clock of the process.
        journal: The record of all pending messages.
        events: The events for the policy's next turn.
        messages: The messages that have been accepted and have not ended.
        fronts: The fronts, by the name that `Message.front` holds.
        transports: The transports, by the scheme that `Endpoint.scheme` holds.
        replication: Replicates the journal, if the application's file turns that on.
        successor: The process that owns all messages, once this one has handed over to it.
        serving: Whether recovery is complete and clients are served.
        stopping: Whether the process is shutting down; nothing is accepted or sent any more.
        repairing_journal: A task writes the journal anew, because a record could not be written.
        tasks: The task group of the engine, which exists as long as the engine runs.
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
    repairing_journal: bool = False
    tasks: TaskGroup = field(init=False)

    def seconds_to(self, due_us: int) -> float:
        """Return the seconds until a time of the monotonic clock, 0 if it has passed."""
        return max(0, due_us - self.clock.now()) / US_PER_S

    def record(self, write: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
        """Write an event to the journal; it has happened already, so a full journal is only logged."""
        if self.successor:
            return  # two processes must not write to one file; the successor records what is reported
        try:
            write(*args, **kwargs)
        except JournalFullError as error:
            log("journal_full", error=str(error))
            if not self.repairing_journal:
                self.repairing_journal = True
                self.tasks.start_soon(self._repair_journal)

    async def _repair_journal(self) -> None:
        """Write the journal anew until it holds all that has happened."""
        while self.journal.incomplete and not self.successor:
            await anyio.sleep(REPAIR_INTERVAL_S)
            try:
                self.journal.begin()
            except JournalFullError as error:
                log("journal_full", error=str(error))
            else:
                log("journal_repaired", size_bytes=self.journal.size_bytes)
        self.repairing_journal = False
