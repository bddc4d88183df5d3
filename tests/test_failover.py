"""Failover without a network: work of a lost node is taken over, and a start goes by what replicas say.

The engine and the leases are specified by their classes, so that a name that they do not have fails here.
"""

from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import anyio
import pytest
from replication_helpers import message

from pinspread.core.engine import DeliveryEngine
from pinspread.core.journal import Journal
from pinspread.errors import JournalFullError
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
    """The bytes of a journal that owes the messages of these numbers."""
    folder.mkdir()
    journal = Journal(str(folder), DISK_BYTES)
    journal.recover()
    for number in numbers:
        journal.message_accepted(message(number))
    journal.close()
    return journal.path.read_bytes()


@pytest.fixture
def engine(tmp_path):
    found = mock.create_autospec(DeliveryEngine, instance=True)
    (tmp_path / "own").mkdir()
    found.journal = Journal(str(tmp_path / "own"), DISK_BYTES)
    found.settings = SimpleNamespace(disk_bytes=DISK_BYTES)
    found.serving, found.stopping, found.messages_by_id = True, False, {}
    return found


@pytest.fixture
def service(tmp_path, engine):
    membership = MembershipService(
        MembershipConfig("k", "127.0.0.1:1", "127.0.0.1:1", (), b"fleet", SwimConfig())
    )
    membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.ALIVE, "a"), 0)
    leases = mock.create_autospec(LeaseService, instance=True)
    leases.fencing_token.return_value = TOKEN
    found = ReplicationService(
        ReplicationConfig("127.0.0.1:0", str(tmp_path / "replicas"), **QUICK), membership, leases
    )
    found.membership, found.leases = membership, leases
    found.stores.open()
    found.attach(engine)
    return found


def store_of_lost_node(service, data, replicas):
    """The node "a" has sent a journal to this one, and is dead."""
    sent = {"from": "a", "to": "k", "owner": "a", "token": 3}

    async def play():
        await service.server.handle(sent | {"t": "send", "keepers": replicas})
        part = {"t": "data", "generation": 7, "base": 1, "at": 0, "bytes": data}
        await service.server.handle(sent | part)

    anyio.run(play)
    service.node.ownership.confirmed_fencing_token = TOKEN
    service.membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.DEAD, "k"), 0)
    return service.stores["a"]


def check(service):
    anyio.run(service.failover.check_owner, "a")


def test_what_a_lost_node_owed_is_taken_over_once_under_a_lease_that_is_held_to_the_end(
    service, engine, tmp_path
):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1, 2), ["k"])
    engine.take_over.return_value = 2
    check(service)
    service.leases.contend.assert_called_with("work.a")
    (taken,) = engine.take_over.call_args.args
    assert [m.id for m in taken] == ["id1", "id2"]
    assert store.replica.takeover_token == TOKEN
    assert ReplicaStore(tmp_path / "replicas", "a").replica.takeover_token == TOKEN
    engine.messages_by_id = {"id2": taken[1]}
    check(service)
    service.leases.withdraw.assert_not_called()
    engine.messages_by_id = {}
    check(service)
    service.leases.withdraw.assert_called_once_with("work.a")
    engine.take_over.assert_called_once()


def test_nothing_is_taken_over_without_the_lease_nor_while_a_replica_may_hold_more(service, engine, tmp_path):
    store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k", "b"])
    check(service)  # "b" has not answered
    service.leases.fencing_token.return_value = 0
    check(service)
    engine.take_over.assert_not_called()
    assert not service.stores["a"].replica.takeover_token


def test_nothing_is_taken_over_when_the_lease_ends_while_the_others_are_asked(service, engine, tmp_path):
    store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    service.leases.fencing_token.side_effect = [TOKEN, TOKEN + 1]
    check(service)
    engine.take_over.assert_not_called()


def test_a_journal_that_is_full_leaves_the_rest_for_the_next_try(service, engine, tmp_path):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    engine.take_over.side_effect = JournalFullError("what is owed fills the journal")
    check(service)
    assert not store.replica.takeover_token
    engine.take_over.side_effect, engine.take_over.return_value = None, 1
    check(service)
    assert store.replica.takeover_token == TOKEN


def test_a_replica_that_is_not_chosen_any_more_goes_once_its_owner_consents(service, tmp_path):
    store = store_of_lost_node(service, journal_of(tmp_path / "a", 1), ["k"])
    membership = service.membership
    membership.member.apply(Update("a", "127.0.0.2:1", 1, MemberState.ALIVE, "a"), 0)
    membership.member.apply(
        Update("f", "127.0.0.3:1", 0, MemberState.ALIVE, "f"), 0
    )  # comes before this node
    service.node.config = replace(service.node.config, replica_count=1, check_interval_us=0)
    answers, asked = [None, Refusal("not yet"), Consent()], []

    async def call(peer, request):
        asked.append((peer, request))
        return answers.pop(0)

    with mock.patch.object(service.peers, "call", call):
        check(service)
        check(service)
        assert store.replica.generation == 7 and store.data()
        check(service)
        assert not store.replica.generation and not store.data()
        assert store.replica.fencing_token == 3  # the token outlasts the data
        check(service)
    assert asked == [("a", RequestRemoval("a"))] * 3


def answering(service, own, journal_of_candidate):
    """The node "a" holds a replica of this node's journal, and has begun to take it over."""

    async def call_all(request, exclude=()):
        if request == FetchSnapshot("k", TOKEN):
            return {"a": own}
        assert request == ReadSnapshot("a")
        return {"a": ReplicaSnapshot(4, journal_of_candidate, ["a"], [], 0)}

    return mock.patch.object(service.peers, "call_all", call_all)


def test_a_start_without_its_journal_gets_it_back_without_what_others_took_over(service, engine, tmp_path):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2, 3), ["a"], ["a"], 0)
    with answering(service, own, journal_of(tmp_path / "a", 2)):
        anyio.run(service.before_recovery)
    assert [m.id for m in engine.journal.recover()] == ["id1", "id3"]
    assert engine.journal.finished_ids.keys() == {"id2"}
    assert service.node.ownership.confirmed_fencing_token == TOKEN
    assert service.primary.log.generation > 7  # the next generation is above what replicas have


def test_a_start_gives_up_all_that_was_taken_over_for_good(service, engine, tmp_path):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2, 3), ["a"], ["a"], 6)
    with answering(service, own, journal_of(tmp_path / "a", 2)):
        anyio.run(service.before_recovery)
    assert engine.journal.recover() == []


def test_after_a_lost_lease_nothing_is_promised_until_what_others_took_over_is_given_up(
    service, engine, tmp_path
):
    own = ReplicaSnapshot(7, journal_of(tmp_path / "k", 1, 2), ["a"], ["a"], 0)
    given_up = anyio.Event()
    engine.release.side_effect = lambda ids: given_up.set() or 1
    service.node.ownership.confirmed_fencing_token = TOKEN - 1
    assert "not known yet" in service.blocked_reason()

    async def play():
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.recovery.run)
                await given_up.wait()
                tasks.cancel_scope.cancel()

    with answering(service, own, journal_of(tmp_path / "a", 2)):
        anyio.run(play)
    engine.release.assert_called_once_with({"id2"})
    assert service.blocked_reason() == ""


def test_after_a_lost_lease_nothing_is_promised_before_a_replica_that_a_successor_asked_has_answered(
    service, engine, tmp_path
):
    # Cut off from all others, this node takes them for dead and asks none; "a" has delivered both meanwhile.
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

    async def play():
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.recovery.run)
                while service.blocked_reason():
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    with mock.patch.object(service.peers, "call_all", call_all):
        anyio.run(play)
    engine.release.assert_called_once_with({"id1", "id2"})
    assert not answers and all(blocked)


def test_the_wait_for_who_knows_of_a_successor_is_bounded_and_begins_anew_with_each_lease(service):
    service.node.config = replace(service.node.config, incomplete_timeout_us=100)
    survey = service.recovery._survey
    with mock.patch.object(clock, "monotonic_us") as now_us:
        waits = [(0, TOKEN), (99, TOKEN), (500, TOKEN + 1), (599, TOKEN + 1), (600, TOKEN + 1)]
        found = []
        for now_us.return_value, token in waits:
            found.append(survey.knows_takeovers(token, {}, 7))
    assert found == [False, False, False, False, True]


def test_a_start_with_its_journal_gives_up_what_was_taken_over_though_nobody_answered_at_first(
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
