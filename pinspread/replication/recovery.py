"""Restores this node's own journal at a start, and drops messages that other nodes have taken over."""

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, cast

import anyio

from pinspread.core.log import log
from pinspread.replication import journal_bytes, snapshots
from pinspread.replication.ownership import is_first_token
from pinspread.replication.store import GenerationFile

if TYPE_CHECKING:
    from pinspread.config.settings import EffectiveSettings
    from pinspread.core.engine import DeliveryEngine
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.primary import Primary
    from pinspread.replication.snapshots import ReplicaSnapshot, Snapshots
    from pinspread.replication.survey import ReplicaSurvey

JOIN_TIMEOUT_S = 2.0  # how long a starting node waits for others before it assumes to be the first
JOIN_POLL_S = 0.05
LEASE_POLL_S = 0.02
RETRY_S = 0.2
CONFIRM_INTERVAL_S = 0.1
DAMAGED_FILE = "journal.damaged"


@dataclass(frozen=True)
class ReleasedWork:
    """The part of this node's work that others have taken over.

    Attributes:
        ids: Ids of the messages.
        taken_over: Whether a takeover of all the work was completed.
        complete: Whether `ids` must include all that was taken over, or the wait for more has timed out.
    """

    ids: set[str]
    taken_over: bool
    complete: bool


@dataclass(frozen=True)
class LocalJournal:
    """The journal on this node's disk.

    Attributes:
        exists: Whether there is a journal file.
        data: The content of the file; empty if there is none.
    """

    exists: bool
    data: bytes

    @property
    def is_intact(self) -> bool:
        """Whether the file exists and is undamaged; a last record whose write was cut short is no damage."""
        return self.exists and journal_bytes.is_intact(self.data)

    @property
    def is_damaged(self) -> bool:
        """Whether the file holds data that cannot be read to its end."""
        return bool(self.data) and not self.is_intact

    @classmethod
    def read(cls, path: Path) -> "LocalJournal":
        """Read the journal at this path.

        Raises:
            OSError: The file cannot be read.
        """
        if not path.exists():
            return cls(False, b"")
        return cls(True, path.read_bytes())


class JournalRecovery:
    """Brings this node's journal up to date with its replicas, at a start and after its lease was lost."""

    def __init__(
        self, node: "ReplicationNode", engine: "DeliveryEngine", primary: "Primary", survey: "ReplicaSurvey"
    ) -> None:
        self._node = node
        self._engine = engine
        self._primary = primary
        self._survey = survey

    # --- at a start ---------------------------------------------------------------------------------

    async def recover(self) -> None:
        """Acquire the lease of this node's work, and replace its journal if a replica is newer.

        Raises:
            OSError: The journal cannot be read or written.
            JournalFormatError: The journal is of a form that this version does not know.
        """
        await self._wait_for_fleet()
        self._node.ownership.request(self._node.id)
        while True:
            token = await self._acquire_lease()
            replica_snapshots = await self._survey.fetch(self._node.id, token)
            if self._is_conclusive(replica_snapshots, token):
                released = await self._released_work(replica_snapshots)
                if released.complete:
                    break
            await anyio.sleep(RETRY_S)
        self.restore(replica_snapshots, released)
        generations = (snapshot.generation for snapshot in replica_snapshots.values())
        self._primary.log.generation_floor = max(generations, default=0)
        self._node.ownership.confirmed_fencing_token = token

    async def _wait_for_fleet(self) -> None:
        with anyio.move_on_after(JOIN_TIMEOUT_S):
            while not self._node.fleet.live_ids():
                await anyio.sleep(JOIN_POLL_S)

    async def _acquire_lease(self) -> int:
        while not (token := self._node.ownership.local_token()):
            await anyio.sleep(LEASE_POLL_S)
        return token

    def _is_conclusive(self, replica_snapshots: "Snapshots", token: int) -> bool:
        """Return whether no committed record is missing, and it is known what others have taken over.

        If this node's own journal is missing or damaged, its committed records may be on a replica that does
        not answer yet. Only a node that is granted its lease for the first time has committed none before.
        """
        if is_first_token(token):
            return True
        if self._read_local_journal().is_intact:
            local_generation = GenerationFile(self._engine.journal.path).read()
            return self._survey.knows_takeovers(token, replica_snapshots, local_generation)
        return self._survey.is_complete(self._node.id, replica_snapshots)

    def _read_local_journal(self) -> LocalJournal:
        return LocalJournal.read(self._engine.journal.path)

    def restore(self, replica_snapshots: "Snapshots", released: ReleasedWork) -> None:
        """Replace the journal's file by a newer replica, and drop what others have taken over from it."""
        newest = snapshots.newest_of(replica_snapshots.values())
        local = self._read_local_journal()
        if newest and self._is_newer(newest, local):
            self._replace_journal(newest, local)
        elif local.is_damaged:
            intact_length = journal_bytes.complete_length(local.data)
            log(
                "copies_lost",
                id=self._node.id,
                at=intact_length,
                warning="damaged, and no newer copy was found",
            )
        if released.ids:
            self._drop_released(released)

    def _is_newer(self, newest: "ReplicaSnapshot", local: LocalJournal) -> bool:
        if not local.is_intact:
            return True
        local_generation = GenerationFile(self._engine.journal.path).read()
        local_length = journal_bytes.complete_length(local.data)
        return (newest.generation, len(newest.data)) > (local_generation, local_length)

    def _replace_journal(self, newest: "ReplicaSnapshot", local: LocalJournal) -> None:
        path = self._engine.journal.path
        why = "damaged" if local.is_damaged else "older" if local.exists else "missing"
        self._node.events("copies_restored", why=why, bytes=len(newest.data), was=len(local.data))
        if local.is_damaged:
            path.with_name(DAMAGED_FILE).write_bytes(local.data)
        path.write_bytes(newest.data)

    def _drop_released(self, released: ReleasedWork) -> None:
        folder = self._engine.journal.path.parent
        settings = cast("EffectiveSettings", self._engine.settings)  # the engine's type has fewer of them
        count = journal_bytes.drop_messages(folder, settings.disk_bytes, released.ids)
        self._node.events("copies_gave_up", count=count, adopted=released.taken_over)

    # --- after the lease was lost -------------------------------------------------------------------

    async def run(self) -> None:
        """Confirm each new token of this node's work lease, until cancelled."""
        while True:
            await anyio.sleep(CONFIRM_INTERVAL_S)
            token = self._node.ownership.local_token()
            is_confirmed = token == self._node.ownership.confirmed_fencing_token
            if token and not is_confirmed and self._engine.serving:
                await self._confirm_or_log(token)

    async def _confirm_or_log(self, token: int) -> None:
        """Confirm a token; where a journal cannot be read or written now, the next round tries again."""
        try:
            await self._confirm(token)
        except journal_bytes.STORAGE_ERRORS as error:
            self._node.events("copies_kept_on", error=str(error))

    async def _confirm(self, token: int) -> None:
        """Drop messages that others have taken over meanwhile, then let the engine accept and send again."""
        replica_snapshots = await self._survey.fetch(self._node.id, token)
        # A node that was on the minority side of a partition may still take all others for dead, and so have
        # asked nobody.
        if not self._survey.knows_takeovers(token, replica_snapshots, self._primary.log.generation):
            return
        released = await self._released_work(replica_snapshots)
        if not released.complete or self._node.ownership.local_token() != token:
            return
        count = self._engine.release(released.ids)
        self._node.ownership.confirmed_fencing_token = token
        self._node.events("copies_gave_up", count=count, adopted=released.taken_over)

    async def _released_work(self, replica_snapshots: "Snapshots") -> ReleasedWork:
        ids, complete = await self._survey.ids_in_candidates_journals(
            replica_snapshots, exclude=self._node.id
        )
        newest = snapshots.newest_of(replica_snapshots.values())
        taken_over = snapshots.is_taken_over(replica_snapshots)
        if newest and taken_over:
            ids |= {message.id for message in journal_bytes.replay(newest.data).open_messages}
        return ReleasedWork(ids, taken_over, complete)
