"""Copies while the courier runs: sending its own journal, keeping others', waiting, and taking over.

A companion of the courier that the core asks before it promises (`core.ports.Copies`), and the journal's tap.
Streams are TCP from the courier's own address; each message has an answer.
"""

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio

from pinspread.core import journal_records
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.leases import state_machine as lease
from pinspread.leases.service import WORK_TASK_PREFIX
from pinspread.membership import codec as wire
from pinspread.membership.clock import monotonic_us
from pinspread.membership.framing import FrameStream
from pinspread.membership.members import MemberState
from pinspread.replication import log as copies
from pinspread.replication import placement
from pinspread.replication.store import ReplicaStore
from pinspread.sockets import split_address

MAGIC = b"PSC"
MOST_FRAME = 64 << 20  # a whole journal; [journal] disk_mb bounds it in fact
CALL_S = 1.0  # for one question and its answer
AGAIN_S = 0.2
WATCH_S = 0.2  # how often the live members are looked at
JOIN_S = 2.0  # how long a start waits for other members before it takes itself for the first
PART_S = 0.1  # what the last records may take of the 3.7 s of SIGTERM
GENERATION = "copies.generation"


@dataclass(frozen=True)
class ReplicationConfig:
    """What the file's `[copies]` says."""

    listen: str
    folder: str
    count: int = 2
    need: int = 1
    ack_us: int = 300_000
    alone: bool = False  # promise on one disk where too few copies are to be had
    check_us: int = 30_000_000
    stagger_us: int = 500_000  # between those who may take over
    patience_us: int = 10_000_000  # for copies that would have to answer
    absent_us: int = 60_000_000  # until who left, or is not known any more, counts as lost
    sync: bool = False  # what is acknowledged is on the keeper's disk, not just written


class ReplicationService:
    """The owner's, the keeper's and the successor's side in one courier."""

    name = "copies"

    def __init__(self, plan: ReplicationConfig, membership, leases):
        self.plan, self.membership, self.leases = plan, membership, leases
        self.id, self.key = membership.config.id, membership.config.fleet_key
        self.host, self.port = split_address(plan.listen)
        self.folder = Path(plan.folder)
        self.source = copies.ReplicationLog(plan.need)
        self.targets = []
        self.told = {}  # target -> the targets that it was last told of
        self.streams = set()  # targets that are connected and up to date once
        self.scopes = {}  # target -> cancel scope of its feeder
        self.shelves = {}
        self.news = anyio.Event()  # a copy has acknowledged something
        self.more = anyio.Event()  # the journal has grown
        self.engine = self.listener = None
        self.since = {}  # owner whose work is due for another -> since when
        self.away = {}  # owner that left or is unknown -> since when
        self.spare = {}  # live owner that has chosen others -> when it is asked next whether its copy may go
        self.sure = 0  # the token under which it is known what of this courier's work others have taken over
        self.taken = {}  # owner -> ids that were taken over; its lease is kept until they are over
        self.unsure = {}  # (what for, owner) -> since when too few copies of its work answer
        self.loud_us = self.late_us = 0
        self.sent_bytes = 0  # of the journal, to all copies

    # --- what the core asks -------------------------------------------------------------------------

    def attach(self, engine):
        """The core is there; from now on its journal is copied."""
        self.engine = engine
        engine.replication = engine.journal.observer = self

    def blocked_reason(self) -> str:
        """Why nothing may be promised or sent just now; empty if all is well."""
        token = self.leases.fencing_token(WORK_TASK_PREFIX + self.id)
        if not token:
            return "the lease of its own work is lost"
        if token != self.sure:
            return "whether its work was taken over is not known yet"
        up = sum(t in self.streams for t in self.targets)
        if up < self.plan.need and not self.plan.alone:
            return f"{up} copies, {self.plan.need} are needed"
        return ""

    async def wait_replicated(self) -> bool:
        """Wait until all that the journal holds by now is on enough copies; whether it is."""
        mark = self.source.mark()
        with anyio.move_on_after(self.plan.ack_us / 1e6):
            while not self.source.copied(self._aware(), mark):
                await self.news.wait()
            return True
        if self.plan.alone:
            if monotonic_us() - self.loud_us > 1_000_000:
                self.loud_us = monotonic_us()
                log(
                    "copies_alone",
                    id=self.id,
                    warning="promised on one disk: too few copies",
                    mono_us=self.loud_us,
                )
            return True
        if monotonic_us() - self.late_us > 1_000_000:  # all that waits would say so
            self.late_us = monotonic_us()
            behind = {t: self.source.behind(t, self.late_us) for t in self.targets}
            log("copies_late", id=self.id, behind=behind, mono_us=self.late_us)
        return False

    def _aware(self):
        """The targets that know who else is one."""
        # Danger: one that does not know would make a successor sure too soon that it has all there is.
        return [t for t in self.targets if self.told.get(t) == self.targets]

    def appended(self, record):
        """The journal's tap."""
        self.source.appended(record, monotonic_us())
        self._grown()

    def rewritten(self, data):
        """Likewise."""
        self.source.rewritten(data, machine_unix_us(), monotonic_us())
        (self.engine.journal.path.parent / GENERATION).write_text(str(self.source.generation))
        self._grown()

    def _heard(self):
        self.news.set()
        self.news = anyio.Event()

    def _grown(self):
        self.more.set()
        self.more = anyio.Event()

    def view(self) -> dict:
        """For the door: this courier's copies and what it keeps of others."""
        mark, now, mine = self.source.mark(), monotonic_us(), []
        for t in self.targets:
            records, bytes_, us = self.source.behind(t, now)
            lag = {"behind_records": records, "behind_bytes": bytes_, "behind_ms": us // 1000}
            mine.append({"at": t, "connected": t in self.streams} | lag)
        kept = [
            {
                "owner": o,
                "generation": s.kept.generation,
                "bytes": s.kept.size,
                "records": sum(1 for _ in journal_records.payloads(s.data())),
                "adopted": s.kept.adopted,
            }
            for o, s in sorted(self.shelves.items())
        ]
        found = {"id": self.id, "generation": mark[0], "bytes": mark[1], "need": self.plan.need}
        found |= {"records": len(self.source.ends), "sent_bytes": self.sent_bytes}
        return found | {"barred": self.blocked_reason(), "copies": mine, "keeps": kept}

    # --- running ------------------------------------------------------------------------------------

    async def open(self):
        """Listen, and read what is kept; OSError if that cannot be done."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            if path.is_dir():
                self.shelves[path.name] = ReplicaStore(self.folder, path.name)
        self.listener = await anyio.create_tcp_listener(local_host=self.host, local_port=self.port)
        log("copies_up", id=self.id, listen=self.plan.listen, keeps=len(self.shelves), mono_us=monotonic_us())

    async def run(self):
        """Until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.listener.serve, self._take, tasks)
            tasks.start_soon(self._watch)
            tasks.start_soon(self._stay_sure)
            while True:
                self._retarget(tasks)
                await anyio.sleep(WATCH_S)

    async def announce_departure(self):
        """Nothing to say: what is out still ends, and that is copied."""

    async def close(self):
        """All that was out has ended: have it copied, then give the work back."""
        if self.leases.fencing_token(WORK_TASK_PREFIX + self.id):
            with anyio.move_on_after(PART_S):
                await self.wait_replicated()
            await self.leases.withdraw(WORK_TASK_PREFIX + self.id)
            await self.leases.flush_proposals()

    def _live(self):
        m = self.membership.member
        return [n.id for n in m.others(MemberState.ALIVE, MemberState.SUSPECT)]

    def _retarget(self, tasks):
        wanted = placement.keepers(self.id, self._live(), self.plan.count)
        if wanted == self.targets:
            return
        self.targets = wanted
        self._grown()  # those that stay are told of it
        log("copies_at", id=self.id, keepers=wanted, mono_us=monotonic_us())
        for gone in [t for t in self.scopes if t not in wanted]:
            self.scopes.pop(gone).cancel()
            self.streams.discard(gone)
            self.told.pop(gone, None)
            self.source.held.pop(gone, None)
        for target in wanted:
            if target not in self.scopes:
                self.scopes[target] = anyio.CancelScope()
                tasks.start_soon(self._feed, target, self.scopes[target])

    # --- the owner ----------------------------------------------------------------------------------

    async def _dial(self, member):
        node = self.membership.member.table.get(member)
        if node is None:
            raise OSError(f"{member} is no member")
        with anyio.fail_after(CALL_S):
            stream = await anyio.connect_tcp(split_address(node.address)[0], self.port, local_host=self.host)
        frames = FrameStream(stream, self.key, MAGIC, MOST_FRAME)
        return stream, frames

    async def _feed(self, target, scope):
        """Keep one copy up to date until the scope is cancelled."""
        with scope:
            while True:
                try:
                    token = self.leases.fencing_token(WORK_TASK_PREFIX + self.id)
                    # Danger: sent before it is known what was taken over, this journal would pass for that.
                    if token and token == self.sure and self.source.generation:
                        stream, frames = await self._dial(target)
                        async with stream:
                            await self._send_on(target, frames, token)
                except OSError:
                    pass
                except wire.DatagramError as why:
                    log("copies_refused", id=self.id, by=target, why=str(why), mono_us=monotonic_us())
                self.streams.discard(target)
                self.told.pop(target, None)
                await anyio.sleep(AGAIN_S)

    async def _call(self, frames, message):
        """Say a message and give the answer; Dropped if it is a refusal."""
        with anyio.fail_after(CALL_S):
            await frames.send(message)
            answer = await frames.receive()
        if answer.get("t") == "no":
            raise wire.DatagramError(str(answer.get("why")))
        return answer

    async def _send_on(self, target, frames, token):
        source, tell = self.source, {"from": self.id, "to": target, "owner": self.id, "token": token}
        checked_us = 0
        while True:
            due = monotonic_us() - checked_us > self.plan.check_us
            if due or not checked_us or self.told.get(target) != self.targets:
                checked_us, keepers = monotonic_us(), self.targets
                have = await self._call(frames, tell | {"t": "send", "keepers": keepers})
                self.told[target] = keepers
                self._heard()
                wire.require_fields(have, {"generation": int, "size": int, "sums": list})
                generation, at = (
                    source.generation,
                    source.resume_at(have["generation"], have["size"], have["sums"]),
                )
                if have["generation"] == generation and at < have["size"]:
                    log(
                        "copies_mended",
                        id=self.id,
                        at=target,
                        place=at,
                        size=have["size"],
                        mono_us=monotonic_us(),
                    )
            if generation != source.generation:
                generation, at = source.generation, 0
            if at < len(source.data) or source.held.get(target, (0, 0))[0] != generation:
                chunk = bytes(source.data[at : at + copies.MOST_DATA])
                data = {"t": "data", "generation": generation, "base": source.base, "at": at, "bytes": chunk}
                ack = await self._call(frames, tell | data)
                self.sent_bytes += len(chunk)
                wire.require_fields(ack, {"generation": int, "size": int})
                at = ack["size"]
                source.held[target] = generation, at
                self._heard()
                continue
            self.streams.add(target)
            with anyio.move_on_after(min(1.0, self.plan.check_us / 1e6)):
                await self.more.wait()
            if self.leases.fencing_token(WORK_TASK_PREFIX + self.id) != token:
                return

    async def before_recovery(self):
        """Own the lease of this courier's work, and its journal as the copies have it if that is newer."""
        with anyio.move_on_after(JOIN_S):
            while not self._live():
                await anyio.sleep(0.05)
        task = WORK_TASK_PREFIX + self.id
        self.leases.contend(task)
        while True:
            while not (token := self.leases.fencing_token(task)):
                await anyio.sleep(0.02)
            found = await self._fetch_all(self.id, token)
            # Danger: without its own journal, what it promised may be on a copy that does not answer yet.
            # Only who is granted its lease for the first time has promised nothing before.
            if self._own()[1] or token == lease.FIRST_TOKEN or self._enough(self.id, found):
                gone, adopted, sure = await self._gone(found)
                if sure:
                    break
            await anyio.sleep(AGAIN_S)
        self._restore(found, gone, adopted)
        self.source.floor = max((f["generation"] for f in found.values()), default=0)
        self.sure = token

    def _own(self):
        """The bytes of this courier's journal on its own disk, and whether they are there and whole."""
        path = self.engine.journal.path
        if not path.exists():
            return b"", False
        data = path.read_bytes()
        whole = journal_records.complete_bytes(data)
        return data, whole == len(data) or journal_records.is_truncated(data, whole)

    async def _stay_sure(self):
        """After the lease of its own work was lost and is held anew: give up what others took over."""
        while True:
            await anyio.sleep(WATCH_S / 2)
            token = self.leases.fencing_token(WORK_TASK_PREFIX + self.id)
            if not token or token == self.sure or not self.engine.serving:
                continue
            found = await self._fetch_all(self.id, token)
            gone, adopted, sure = await self._gone(found)
            if not sure or self.leases.fencing_token(WORK_TASK_PREFIX + self.id) != token:
                continue
            try:
                count = self.engine.release(gone)
            except JournalFullError as error:
                log("copies_kept_on", id=self.id, error=str(error), mono_us=monotonic_us())
                continue
            self.sure = token
            log("copies_gave_up", id=self.id, count=count, adopted=adopted, mono_us=monotonic_us())

    async def _gone(self, found):
        """Ids that others owe by now, as the copies of this courier's work say; whether that is all of it.

        And whether all that was taken over must be known by that.
        """
        gone, sure = await self._named_by(found, but=self.id)
        best = best_of(found)
        adopted = bool(best) and any(f["adopted"] and f["generation"] == best[0] for f in found.values())
        if adopted:
            live, _ = replayed(best[1])
            gone |= {t.id for t in live}
        return gone, adopted, sure

    def _restore(self, found, drop, adopted):
        journal = self.engine.journal
        stamp = journal.path.parent / GENERATION
        mine, there = self._own()
        generation = int(stamp.read_text()) if stamp.exists() and stamp.read_text().isdigit() else 0
        whole, sound = journal_records.complete_bytes(mine), there or not mine
        best = best_of(found)
        if best and (not there or (best[0], len(best[1])) > (generation, whole)):
            why = "missing" if not journal.path.exists() else "older" if sound else "damaged"
            log(
                "copies_restored",
                id=self.id,
                why=why,
                bytes=len(best[1]),
                was=len(mine),
                mono_us=monotonic_us(),
            )
            if not sound:
                journal.path.with_name("journal.damaged").write_bytes(mine)
            journal.path.write_bytes(best[1])
        elif not sound:
            log("copies_lost", id=self.id, at=whole, warning="damaged, and no newer copy was found")
        if drop:
            old = Journal(str(journal.path.parent), self.engine.settings.disk_bytes)
            old.read()
            gone = [t for t in old.live.values() if t.id in drop]
            old.drop(gone)
            old.begin()
            old.close()
            log("copies_gave_up", id=self.id, count=len(gone), adopted=adopted, mono_us=monotonic_us())

    # --- asking others ------------------------------------------------------------------------------

    async def _ask(self, member, message):
        """One question to one member; its answer, or None."""
        if member == self.id:
            return await self._answer(message | {"from": self.id, "to": self.id})
        try:
            stream, frames = await self._dial(member)
            async with stream:
                return await self._call(frames, message | {"from": self.id, "to": member})
        except OSError:
            return None
        except wire.DatagramError as why:
            log("copies_refused", id=self.id, by=member, why=str(why), mono_us=monotonic_us())
            return None

    async def _ask_all(self, message, but=()):
        found = {}

        async def one(member):
            answer = await self._ask(member, message)
            if answer and answer.get("t") != "no":
                found[member] = answer

        async with anyio.create_task_group() as tasks:
            for member in [self.id, *self._live()]:
                if member not in but:
                    tasks.start_soon(one, member)
        return found

    async def _fetch_all(self, owner, token):
        """Every live member's copy of an owner's work, which none with an older token can change any more."""
        found = await self._ask_all({"t": "fetch", "owner": owner, "token": token}, but=(owner,))
        return whole_ones(found)

    async def _named_by(self, found, but):
        """Ids that stand in the copies of others who had begun to take this work over.

        And whether these copies must hold all of them, or have been waited for long enough.
        """
        named, sure = set(), True
        for tried in {t for f in found.values() for t in f["tried"]} - {but}:
            theirs = whole_ones(await self._ask_all({"t": "read", "owner": tried}))
            # Danger: what it took over and has begun to send would be sent from here as well.
            sure = self._enough(tried, theirs, "taken over by") and sure
            best = best_of(theirs)
            if best:
                live, past = replayed(best[1])
                named |= {t.id for t in live} | past
        return named, sure

    # --- the keeper ---------------------------------------------------------------------------------

    async def _take(self, stream):
        frames = FrameStream(stream, self.key, MAGIC, MOST_FRAME)
        try:
            async with stream:
                while True:
                    message = await frames.receive()
                    await frames.send(await self._answer(message))
        except wire.DatagramError as why:
            log("copies_refused", id=self.id, why=str(why), mono_us=monotonic_us())
        except OSError:
            pass

    async def _answer(self, message) -> dict:
        """What a keeper makes of a message; Dropped if it is not well-formed."""
        kind = message.get("t")
        if kind not in NEEDS:
            raise wire.DatagramError(f"kind {str(kind)[:64]!r}")
        wire.require_fields(message, {"from": str, "to": str, "owner": str} | NEEDS[kind])
        owner, sender = message["owner"], message["from"]
        known = self.membership.member.table
        if (
            message["to"] != self.id
            or sender not in known
            or (owner not in known and owner not in self.shelves)
        ):
            why = "not a member of the fleet"
        elif kind in ("send", "data") and sender != owner:
            why = f"{sender} does not own the work of {owner}"
        elif min([v for v in message.values() if wire.is_of_type(v, int)], default=0) < 0:
            why = "a figure below 0"
        else:
            try:
                if kind == "spare":
                    return self._on_spare(owner, message)
                shelf = self._shelf(owner)
                async with shelf.lock:  # in the order that they came, also while the disk is slow
                    return await getattr(self, f"_on_{kind}")(shelf, message)
            except OSError as error:
                why = f"disk: {error}"
        log("copies_refused", id=self.id, source=sender, owner=owner, why=why, mono_us=monotonic_us())
        return {"t": "no", "why": why}

    def _shelf(self, owner):
        if owner not in self.shelves:
            self.shelves[owner] = ReplicaStore(self.folder, owner)
        return self.shelves[owner]

    def _no(self, owner, why):
        log("copies_refused", id=self.id, owner=owner, why=why, mono_us=monotonic_us())
        return {"t": "no", "why": why}

    async def _on_send(self, shelf, message):
        if why := shelf.kept.greet(message["token"]):
            return self._no(shelf.kept.owner, why)
        shelf.kept.keepers = [str(k) for k in message["keepers"]]
        shelf.save()
        data = shelf.data()
        have = {"t": "have", "generation": shelf.kept.generation, "size": len(data)}
        return have | {"sums": copies.sums(data)}

    async def _on_data(self, shelf, message):
        generation, at, data = message["generation"], message["at"], message["bytes"]
        where = shelf.kept.place(message["token"], generation, message["base"], at, len(data))
        if where not in ("old", "new"):
            return self._no(shelf.kept.owner, where)
        if self.plan.sync:
            # Danger: a disk that is slow to sync would hold up this member's word that it lives.
            await anyio.to_thread.run_sync(shelf.write, where, at, data, True)
        else:
            shelf.write(where, at, data)
        return {"t": "ack", "generation": generation, "size": at + len(data)}

    async def _on_fetch(self, shelf, message):
        if why := shelf.kept.fence(message["token"], message["from"]):
            return self._no(shelf.kept.owner, why)
        shelf.save()
        return self._copy(shelf)

    async def _on_read(self, shelf, message):
        return self._copy(shelf)

    def _copy(self, shelf):
        kept = shelf.kept
        found = {"t": "copy", "generation": kept.generation, "bytes": shelf.data(), "keepers": kept.keepers}
        return found | {"tried": kept.tried, "adopted": kept.adopted}

    async def _on_done(self, shelf, message):
        if message["token"] < shelf.kept.token:
            return self._no(
                shelf.kept.owner, f"fenced: token {message['token']}, newer is {shelf.kept.token}"
            )
        shelf.kept.adopted = message["token"]
        shelf.save()
        return {"t": "ack", "generation": shelf.kept.generation, "size": shelf.kept.size}

    def _on_spare(self, owner, message):
        """A member that this courier chose once asks whether its copy may go."""
        if owner != self.id or self.blocked_reason() or not self.source.spared(message["from"], self.targets):
            return {"t": "no", "why": "not yet"}
        return {"t": "ack"}

    async def _let_go(self, owner):
        """Ask a live owner that has chosen others whether its copy may go."""
        chosen = placement.keepers(owner, [*self._live(), self.id], self.plan.count)
        if self.id in chosen or not self.shelves[owner].kept.generation:
            self.spare.pop(owner, None)
            return
        ask_us = self.spare.setdefault(owner, monotonic_us() + self.plan.check_us)
        if monotonic_us() < ask_us:
            return
        self.spare[owner] = monotonic_us() + self.plan.check_us
        answer = await self._ask(owner, {"t": "spare", "owner": owner})
        if answer and answer["t"] == "ack":
            shelf = self.shelves[owner]
            async with shelf.lock:
                shelf.clear()
            log("copies_let_go", id=self.id, owner=owner, mono_us=monotonic_us())

    # --- the successor ------------------------------------------------------------------------------

    async def _watch(self):
        """Take over what is kept of owners that are dead, one after the other."""
        while True:
            await anyio.sleep(WATCH_S)
            if not self.engine.serving or self.engine.stopping:
                continue
            table = self.membership.member.table
            for owner in list(self.shelves):
                node, kept = table.get(owner), self.shelves[owner].kept
                state = node.state if node else ""
                if state in (MemberState.ALIVE, MemberState.SUSPECT):
                    self.away.pop(owner, None)
                    if state == MemberState.ALIVE and owner != self.id:
                        await self._let_go(owner)
                away_us = monotonic_us() - self.away.setdefault(owner, monotonic_us())
                lost = owner != self.id and copies.absent(state, away_us, self.plan.absent_us)
                # Danger: the owner would send its next message of a key before this courier's last.
                open_here = self.taken.get(owner, set()) & self.engine.messages_by_id.keys()
                if not lost or not kept.generation or kept.adopted:
                    self.since.pop(owner, None)
                    self.unsure.pop(("own", owner), None)
                    if owner != self.id and not open_here:
                        self.taken.pop(owner, None)
                        await self.leases.withdraw(WORK_TASK_PREFIX + owner)
                    continue
                since = self.since.setdefault(owner, monotonic_us())
                order = placement.order(owner, [*self._live(), self.id])
                if monotonic_us() - since < self.plan.stagger_us * order.index(self.id):
                    continue
                self.leases.contend(WORK_TASK_PREFIX + owner)
                if token := self.leases.fencing_token(WORK_TASK_PREFIX + owner):
                    try:
                        await self._take_over(owner, token)
                    except (JournalFullError, JournalFormatError, OSError) as error:
                        log(
                            "copies_not_taken_over",
                            id=self.id,
                            owner=owner,
                            error=str(error),
                            mono_us=monotonic_us(),
                        )

    def _enough(self, owner, found, why="own") -> bool:
        """Whether what was promised must be among these copies, or has been waited for long enough.

        `why`: what they are asked for, waits for which are apart.
        """
        newest = best_of(found)
        keepers = [f["keepers"] for f in found.values() if newest and f["generation"] == newest[0]]
        # Danger: a keeper that the owner has chosen anew may not answer, and hold what the others lack.
        if copies.enough(found, keepers, self.plan.count, self.plan.need):
            self.unsure.pop((why, owner), None)
            return True
        first = (why, owner) not in self.unsure
        late = monotonic_us() - self.unsure.setdefault((why, owner), monotonic_us()) >= self.plan.patience_us
        if first or late:
            log(
                "copies_unsure" if late else "copies_awaited",
                id=self.id,
                owner=owner,
                wanted=why,
                answered=sorted(found),
                of=keepers,
                mono_us=monotonic_us(),
            )
        if late:
            del self.unsure[why, owner]
        return late

    async def _take_over(self, owner, token):
        found = await self._fetch_all(owner, token)
        best = best_of(found)
        if best is None or not self._enough(owner, found):
            return
        if any(f["adopted"] and f["generation"] == best[0] for f in found.values()):
            self.shelves[owner].kept.adopted = token
            self.shelves[owner].save()
            return
        named, sure = await self._named_by(found, but=self.id)
        if not sure:
            return
        live, _ = replayed(best[1])
        # Danger: the lease may have ended while the others were asked; the owner or another may act by now.
        if self.leases.fencing_token(WORK_TASK_PREFIX + owner) != token or self.blocked_reason():
            return
        mine = [t for t in live if t.id not in named]
        count = self.engine.take_over(mine)
        self.taken[owner] = {t.id for t in mine}
        log(
            "copies_taken_over",
            id=self.id,
            owner=owner,
            token=token,
            count=count,
            held=len(live),
            mono_us=monotonic_us(),
        )
        while not await self.wait_replicated():
            if self.leases.fencing_token(WORK_TASK_PREFIX + owner) != token:
                return
        await self._ask_all({"t": "done", "owner": owner, "token": token})


NEEDS = {
    "send": {"token": int, "keepers": list},
    "data": {"token": int, "generation": int, "base": int, "at": int, "bytes": bytes},
    "fetch": {"token": int},
    "read": {},
    "done": {"token": int},
    "spare": {},
}


def machine_unix_us() -> int:
    """Unix microseconds: a generation of a later start is higher."""
    return time.time_ns() // 1000


def best_of(found: dict):
    """The newest generation and its longest copy among answers, or None."""
    return copies.best([(f["generation"], f["bytes"]) for f in found.values()])


def whole_ones(found: dict) -> dict:
    """Those answers, each up to its last whole record."""
    cut = {
        m: f | {"bytes": f["bytes"][: journal_records.complete_bytes(f["bytes"])]} for m, f in found.items()
    }
    for m, f in cut.items():
        if len(f["bytes"]) < len(found[m]["bytes"]):
            log(
                "copies_damaged",
                at=m,
                place=len(f["bytes"]),
                size=len(found[m]["bytes"]),
                mono_us=monotonic_us(),
            )
    return cut


def replayed(data: bytes):
    """The open transactions of a journal's bytes, and the ids that are over."""
    with tempfile.TemporaryDirectory() as folder:
        old = Journal(folder, 1 << 30)
        old.path.write_bytes(data)
        old.read()
        return list(old.open_messages.values()), set(old.finished_ids)
