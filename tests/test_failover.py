"""Failover without a network: taking over a lost node's work, and restoring a journal from replicas.

The mocks of the engine and the leases are specified by their classes, so that using a name that these classes
do not have fails.
"""

from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import anyio
import pytest
from replication_helpers import message

from pinspread.core.engine import DeliveryEngine
from pinspread.core.journal import Journal
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.leases.service import LeaseService
from pinspread.membership.members import MemberState
from pinspread.membership.messages import Update
from pinspread.membership.service import MembershipConfig, MembershipService
from pinspread.membership.swim import SwimConfig
from pinspread.replication import clock
from pinspread.replication.config import ReplicationConfig
from pinspread.replication.protocol import Consent, FetchSnapshot, ReadSnapshot, Refusal, RequestRemoval
from pinspread.replication.service import ReplicationService
from pinspread.replication.snapshots import ReplicaSnapshot
from pinspread.replication.store import GenerationFile, ReplicaStore

TOKEN = 5
DISK_BYTES = 3_000_000
QUICK = {"ack_timeout_us": 1000, "allow_unreplicated": True, "takeover_stagger_us": 0}


def journal_of(folder, *numbers):
    """Return the bytes of a journal in which the messages of these numbers are open."""
    folder.mkdir()
    journal = Journal(str(folder), DISK_BYTES)
    journal.recover()
    for number in numbers:
        journal.message_accepted(message(number))
    journal.close()
    return journal.path.read_bytes()


@pytest.fixture
def engine(tmp_path):
    autospec = mock.create_autospec(DeliveryEngine, instance=True)
    (tmp_path / "own").mkdir()
    autospec.journal = Journal(str(tmp_path / "own"), DISK_BYTES)
    autospec.settings = SimpleNamespace(disk_bytes=DISK_BYTES)
    autospec.serving, autospec.stopping, autospec.messages_by_id = True, False, {}
    return autospec


@pytest.fixture
def service(tmp_path, engine):
    membership = MembershipService(
        MembershipConfig("k", "127.0.0.1:1", "127.0.0.1:1", (), b"fleet", SwimConfig())
    )
    membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.ALIVE, "a"), 0)
    leases = mock.create_autospec(LeaseService, instance=True)
    leases.fencing_token.return_value = TOKEN
    replication = ReplicationService(
        ReplicationConfig("127.0.0.1:0", str(tmp_path / "replicas"), **QUICK), membership, leases
    )
    replication.membership, replication.leases = membership, leases
    replication.stores.open()
    replication.attach(engine)
    return replication


def store_of_lost_node(service, data, replicas):
    """Have the node "a" send its journal to this one and die; return this node's store of it."""
    header = {"from": "a", "to": "k", "owner": "a", "token": 3}

    async def scenario():
        await service.server.handle(header | {"t": "send", "keepers": replicas})
        fields = {"t": "data", "generation": 7, "base": 1, "at": 0, "bytes": data}
        await service.server.handle(header | fields)

    anyio.run(scenario)
    service.node.ownership.confirmed_fencing_token = TOKEN
    service.membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.DEAD, "k"), 0)
    return service.stores["a"]


def check_lost_node(service):
    anyio.run(service.failover.check_owner, "a")


def test_open_messages_of_a_lost_node_are_taken_over_once_under_a_lease_that_is_held_until_they_end(
    service, engine, tmp_path
):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1, 2), ["k"])
    engine.take_over.return_value = 2
    check_lost_node(service)
    service.leases.contend.assert_called_with("work.a")
    (taken_over,) = engine.take_over.call_args.args
    assert [entry.id for entry in taken_over] == ["id1", "id2"]
    assert store.replica.takeover_token == TOKEN
    assert ReplicaStore(tmp_path / "replicas", "a").replica.takeover_token == TOKEN
    engine.messages_by_id = {"id2": taken_over[1]}
    check_lost_node(service)
    service.leases.withdraw.assert_not_called()
    engine.messages_by_id = {}
    check_lost_node(service)
    service.leases.withdraw.assert_called_once_with("work.a")
    engine.take_over.assert_called_once()


def test_nothing_is_taken_over_without_the_lease_nor_while_a_replica_may_hold_more(service, engine, tmp_path):
    store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k", "b"])
    check_lost_node(service)  # "b" has not answered
    service.leases.fencing_token.return_value = 0
    check_lost_node(service)
    engine.take_over.assert_not_called()
    assert not service.stores["a"].replica.takeover_token


def test_nothing_is_taken_over_when_the_lease_ends_while_the_others_are_asked(service, engine, tmp_path):
    store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    service.leases.fencing_token.side_effect = [TOKEN, TOKEN + 1]
    check_lost_node(service)
    engine.take_over.assert_not_called()


def test_a_journal_that_is_full_leaves_the_rest_for_the_next_try(service, engine, tmp_path):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    engine.take_over.side_effect = JournalFullError("the journal is full")
    check_lost_node(service)
    assert not store.replica.takeover_token
    engine.take_over.side_effect, engine.take_over.return_value = None, 1
    check_lost_node(service)
    assert store.replica.takeover_token == TOKEN


def run_until(run, event):
    """Run a part of the service until an event is set."""

    async def scenario():
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                await event.wait()
                tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_replica_that_cannot_be_removed_now_does_not_end_the_watch_of_the_owners(service, tmp_path, capfd):
    """Guards against an error of the disk that ended all parts of the cluster."""
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    removed = anyio.Event()
    outcomes = [OSError("injected"), JournalFormatError("injected"), None]

    async def remove(owner):
        if outcome := outcomes.pop(0):
            raise outcome
        store.clear()
        removed.set()

    service.membership.member.apply(Update("a", "127.0.0.2:1", 1, MemberState.ALIVE, "a"), 0)
    with mock.patch.object(service.failover._retention, "remove_if_unneeded", remove):
        run_until(service.failover.run, removed)
    assert capfd.readouterr().out.count('"event":"copies_check_failed"') == 2


def test_a_journal_that_cannot_be_read_now_does_not_end_the_confirmation_of_tokens(
    service, engine, tmp_path, capfd
):
    """Guards against an error of the disk, or of a journal's form, that ended all parts of the cluster."""
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2), ["a"], ["a"], 0)
    released = anyio.Event()
    outcomes = [OSError("injected"), JournalFormatError("injected"), JournalFullError("injected")]

    def release(ids):
        if outcomes:
            raise outcomes.pop(0)
        released.set()
        return 1

    engine.release.side_effect = release
    service.node.ownership.confirmed_fencing_token = TOKEN - 1
    with peer_answers(service, own, journal_of(tmp_path / "a", 2)):
        run_until(service.recovery.run, released)
    assert capfd.readouterr().out.count('"event":"copies_kept_on"') == 3
    assert service.node.ownership.confirmed_fencing_token == TOKEN


def test_a_replica_that_is_not_chosen_any_more_goes_once_its_owner_consents(service, tmp_path):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    membership = service.membership
    membership.member.apply(Update("a", "127.0.0.2:1", 1, MemberState.ALIVE, "a"), 0)
    # "f" has a higher weight for the owner than this node.
    membership.member.apply(Update("f", "127.0.0.3:1", 0, MemberState.ALIVE, "f"), 0)
    service.node.config = replace(service.node.config, replica_count=1, check_interval_us=0)
    answers, requests = [None, Refusal("not yet"), Consent()], []

    async def call(peer, request):
        requests.append((peer, request))
        return answers.pop(0)

    with mock.patch.object(service.peers, "call", call):
        check_lost_node(service)
        check_lost_node(service)
        assert store.replica.generation == 7 and store.data()
        check_lost_node(service)
        assert not store.replica.generation and not store.data()
        assert store.replica.fencing_token == 3  # the token is kept after the data is removed
        check_lost_node(service)
    assert requests == [("a", RequestRemoval("a"))] * 3


def peer_answers(service, own, journal_of_candidate):
    """Have the node "a" answer: it holds a replica of this node's journal, and has begun a takeover."""

    async def call_all(request, exclude=()):
        if request == FetchSnapshot("k", TOKEN):
            return {"a": own}
        assert request == ReadSnapshot("a")
        return {"a": ReplicaSnapshot(4, journal_of_candidate, ["a"], [], 0)}

    return mock.patch.object(service.peers, "call_all", call_all)


def test_a_start_without_its_journal_gets_it_back_without_what_others_took_over(service, engine, tmp_path):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2, 3), ["a"], ["a"], 0)
    with peer_answers(service, own, journal_of(tmp_path / "a", 2)):
        anyio.run(service.before_recovery)
    assert [entry.id for entry in engine.journal.recover()] == ["id1", "id3"]
    assert engine.journal.finished_ids.keys() == {"id2"}
    assert service.node.ownership.confirmed_fencing_token == TOKEN
    assert service.primary.log.generation > 7  # higher than the generations of replicas


def test_a_start_drops_all_work_whose_takeover_was_completed(service, engine, tmp_path):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2, 3), ["a"], ["a"], 6)
    with peer_answers(service, own, journal_of(tmp_path / "a", 2)):
        anyio.run(service.before_recovery)
    assert engine.journal.recover() == []


def test_after_a_lost_lease_nothing_is_accepted_until_what_others_took_over_is_dropped(
    service, engine, tmp_path
):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2), ["a"], ["a"], 0)
    released = anyio.Event()
    engine.release.side_effect = lambda ids: released.set() or 1
    service.node.ownership.confirmed_fencing_token = TOKEN - 1
    assert "not known yet" in service.blocked_reason()

    with peer_answers(service, own, journal_of(tmp_path / "a", 2)):
        run_until(service.recovery.run, released)
    engine.release.assert_called_once_with({"id2"})
    assert service.blocked_reason() == ""


def test_after_a_lost_lease_nothing_is_accepted_before_a_replica_that_a_successor_asked_has_answered(
    service, engine, tmp_path
):
    # This node was cut off from all others, takes them for dead and at first asks none. Meanwhile "a" has
    # delivered both messages.
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2), ["a"], ["a"], 6)
    older = ReplicaSnapshot(6, journal_of(tmp_path / "k6", 1), ["c", "a"], [], 0)
    holds_nothing = ReplicaSnapshot(0, b"", [], [], 0)
    answers = [{}, {"b": holds_nothing}, {"b": holds_nothing, "c": older}]
    blocked = []
    service.primary.log.generation = 7
    service.node.ownership.confirmed_fencing_token = TOKEN - 1

    async def call_all(request, exclude=()):
        blocked.append(service.blocked_reason())
        if request == FetchSnapshot("k", TOKEN):
            return answers.pop(0) if answers else {"a": own}
        return {"a": ReplicaSnapshot(4, journal_of(tmp_path / f"a{len(blocked)}"), ["a"], [], 0)}

    async def scenario():
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.recovery.run)
                while service.blocked_reason():
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    with mock.patch.object(service.peers, "call_all", call_all):
        anyio.run(scenario)
    engine.release.assert_called_once_with({"id1", "id2"})
    assert not answers and all(blocked)


def test_the_wait_for_replicas_that_know_of_a_takeover_is_limited_and_starts_again_with_each_lease(service):
    service.node.config = replace(service.node.config, incomplete_timeout_us=100)
    survey = service.recovery._survey
    with mock.patch.object(clock, "monotonic_us") as now_us:
        waits = [(0, TOKEN), (99, TOKEN), (500, TOKEN + 1), (599, TOKEN + 1), (600, TOKEN + 1)]
        results = []
        for now_us.return_value, token in waits:
            results.append(survey.knows_takeovers(token, {}, 7))
    assert results == [False, False, False, False, True]


def test_a_start_with_its_journal_drops_what_was_taken_over_though_no_node_answered_at_first(
    service, engine, tmp_path
):
    engine.journal.recover()
    for number in (1, 2):
        engine.journal.message_accepted(message(number))
    engine.journal.close()
    GenerationFile(engine.journal.path).write(7)
    own = ReplicaSnapshot(7, engine.journal.path.read_bytes(), ["a"], ["a"], 6)
    answers = [{}, {"a": own}]

    async def call_all(request, exclude=()):
        if request == FetchSnapshot("k", TOKEN):
            return answers.pop(0)
        return {"a": ReplicaSnapshot(4, journal_of(tmp_path / "a"), ["a"], [], 0)}

    with mock.patch.object(service.peers, "call_all", call_all):
        anyio.run(service.before_recovery)
    assert not answers
    assert engine.journal.recover() == []
    assert engine.journal.finished_ids.keys() == {"id1", "id2"}
