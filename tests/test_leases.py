"""The lease decisions one by one, and the exhaustive check, which must notice each rule that is taken out."""

import socket
from unittest import mock

import anyio
import pytest
from standins import wait_until

from pinspread.leases import learner, lease_model, state_machine
from pinspread.leases.lease_model import Bounds, Rules
from pinspread.leases.model_checker import explore
from pinspread.leases.service import LeaseConfig, LeaseService, LeaseTask
from pinspread.leases.state_machine import Answer, Claim, Command, LeaseRecord, Request
from pinspread.membership.config import SwimConfig
from pinspread.membership.service import MembershipConfig, MembershipService

TERMS = state_machine.LeaseTerms(lease_us=1000, drift_us=50, margin_us=20, renew_us=300, retry_us=100)
A = state_machine.Contender("t", "a")


@pytest.mark.parametrize(
    ("row", "command", "after", "why"),
    [
        (LeaseRecord(), Command("grant", "a", 0, 7), LeaseRecord("a", 1, 1, 7), "ok"),
        # A repeated request.
        (LeaseRecord("a", 1, 1, 7), Command("grant", "a", 0, 7), LeaseRecord("a", 1, 1, 7), "ok"),
        (LeaseRecord("a", 1, 3, 7), Command("grant", "b", 3, 8), LeaseRecord("b", 4, 4, 8), "ok"),
        (
            LeaseRecord("a", 1, 4, 7),
            Command("grant", "b", 3, 8),
            LeaseRecord("a", 1, 4, 7),
            "changed meanwhile",
        ),
        (LeaseRecord("a", 1, 1, 7), Command("renew", "a", 1), LeaseRecord("a", 1, 2, 7), "ok"),
        (LeaseRecord("b", 4, 4, 8), Command("renew", "a", 1), LeaseRecord("b", 4, 4, 8), "not the holder"),
        (
            LeaseRecord("a", 4, 4, 8),
            Command("renew", "a", 1),
            LeaseRecord("a", 4, 4, 8),
            "stale token 1: it is 4",
        ),
        (LeaseRecord("a", 1, 2, 7), Command("release", "a", 1), LeaseRecord("", 1, 3, 0), "ok"),
        (LeaseRecord("", 1, 3, 0), Command("release", "a", 1), LeaseRecord("", 1, 3, 0), "not the holder"),
        (LeaseRecord("", 1, 3, 0), Command("grant", "b", 3, 9), LeaseRecord("b", 4, 4, 9), "ok"),
    ],
)
def test_the_record_after_each_command(row, command, after, why):
    assert state_machine.apply_command(row, command) == (after, why)


@pytest.mark.parametrize(
    ("request_", "now_us", "said"),
    [
        (Request("ask", "t", "b", 0, 9), 1049, Answer("t", 9, "held by a", 0, 1)),
        (Request("ask", "t", "b", 0, 9), 1050, Command("grant", "b", 2, 9)),  # lease and drift bound are over
        (Request("ask", "t", "a", 0, 7), 1, Command("grant", "a", 2, 7)),  # repeated: its answer was lost
        (Request("ask", "t", "a", 0, 9), 1, Answer("t", 9, "held by a", 0, 1049)),  # restarted: must wait
        (Request("keep", "t", "a", 1, 9), 5000, Command("renew", "a", 1)),  # late, but not granted to others
        (Request("keep", "t", "a", 3, 9), 1, Answer("t", 9, "stale token 3: it is 1")),
        (Request("give", "t", "b", 1, 9), 1, Answer("t", 9, "not the holder")),
        (Request("give", "t", "a", 1, 9), 1, Command("release", "a", 1)),
    ],
)
def test_a_voters_decision_on_each_request(request_, now_us, said):
    assert state_machine.evaluate_request(LeaseRecord("a", 1, 2, 7), 0, request_, TERMS, now_us) == said


def test_a_claim_counts_from_before_its_request_and_ends_when_a_renewal_is_refused():
    claim, request = state_machine.tick(Claim(), TERMS, A, 100, 7)
    assert request == Request("ask", "t", "a", 0, 7)
    assert state_machine.tick(claim, TERMS, A, 150, 8) == (claim, None)
    claim, repeated = state_machine.tick(claim, TERMS, A, 200, 8)
    assert repeated == request  # the same request id, so that it is granted only once
    claim = state_machine.apply_answer(claim, Answer("t", 7, "ok", 5), TERMS, 600)
    assert claim.token == 5 and claim.expiry_us == 1100
    assert state_machine.may_act(claim, TERMS, 1029) and not state_machine.may_act(claim, TERMS, 1030)
    claim, renewal = state_machine.tick(claim, TERMS, A, 601, 9)
    assert renewal == Request("keep", "t", "a", 5, 9)
    # The answer is to another request.
    assert state_machine.apply_answer(claim, Answer("t", 8, "not the holder"), TERMS, 610) == claim
    renewed = state_machine.apply_answer(claim, Answer("t", 9, "ok", 5), TERMS, 700)
    assert renewed.expiry_us == 1601
    lost = state_machine.apply_answer(claim, Answer("t", 9, "not the holder"), TERMS, 700)
    assert not state_machine.may_act(lost, TERMS, 700)
    expired, _ = state_machine.tick(claim, TERMS, A, 1100, 10)
    assert expired.token == 0


def without_drift_bound_of_the_holder(claim, terms, now_us):
    return state_machine.may_act(claim, terms._replace(drift_us=0), now_us)


def without_drift_bound_of_the_voter(record, applied_us, request, terms, now_us):
    return state_machine.evaluate_request(record, applied_us, request, terms._replace(drift_us=0), now_us)


def without_waiting_for_expiry(record, applied_us, request, terms, now_us):
    return state_machine.evaluate_request(
        record, applied_us, request, terms._replace(lease_us=0, drift_us=0), now_us
    )


def without_the_version_check(record, command):
    expected = record.version if command.kind == state_machine.CommandKind.GRANT else command.expected
    return state_machine.apply_command(record, command._replace(expected=expected))


@pytest.mark.long
def test_no_order_of_events_within_six_steps_gives_two_holders():
    result = explore(Bounds(depth=6))
    assert result.complete and not result.violation, result
    assert result.states > 500_000


@pytest.mark.long
@pytest.mark.parametrize(
    "rules",
    [
        Rules(may_act=without_drift_bound_of_the_holder),
        Rules(evaluate_request=without_drift_bound_of_the_voter),
        Rules(evaluate_request=without_waiting_for_expiry),
        Rules(apply_command=without_the_version_check),
    ],
    ids=["holder's drift", "voter's drift", "the wait", "the version"],
)
def test_the_check_finds_two_holders_where_a_rule_is_taken_out(rules):
    result = explore(Bounds(depth=6), rules)
    assert "may act" in result.violation, result
    assert 3 <= len(result.steps) <= 7


def test_acts_of_a_holder_that_paused_are_refused_by_their_fencing_tokens_alone():
    bounds = Bounds(depth=9, voters=1, drifting_clocks=0, drift=0, requests=2, log_entries=2, acts=True)
    terms = lease_model.TERMS._replace(lease_us=2, drift_us=0)
    result = explore(bounds, terms=terms)
    assert result.complete and not result.violation, result
    unfenced_result = explore(bounds, Rules(fenced=False), terms)
    assert unfenced_result.violation == "the resource accepted token 1 after token 2", unfenced_result


def test_the_stand_in_resource_refuses_an_older_token_and_a_malformed_request():
    import asyncio

    from pinspread.testbed.resource import Resource

    recorded = []

    class History:
        def add(self, who, event, **fields):
            recorded.append((fields["task"], fields["token"], fields["taken"]))

    async def call(port, request_head):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_head.encode() + b"\r\n\r\n")
        answer = await reader.read(100)
        writer.close()
        return answer.split(b" ")[1].decode()

    async def run_scenario():
        resource = Resource(History(), ("127.0.0.1", 0))
        await resource.open()
        port = resource.server.sockets[0].getsockname()[1]
        try:
            heads = [f"POST /t HTTP/1.1\r\nHolder: a\r\nFencing-Token: {n}" for n in (5, 4, 5, 6)]
            heads += ["POST /u HTTP/1.1\r\nFencing-Token: 1", "POST /t HTTP/1.1", "GET /t HTTP/1.1", "x"]
            return [await call(port, head) for head in heads]
        finally:
            resource.close()

    answers = asyncio.run(run_scenario())
    assert answers == ["200", "409", "200", "200", "200", "400", "400", "400"]
    assert recorded == [("t", 5, True), ("t", 4, False), ("t", 5, True), ("t", 6, True), ("u", 1, True)]


@pytest.fixture
def free_address():
    with socket.socket() as probe_socket:
        probe_socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe_socket.getsockname()[1]}"


def test_the_only_voter_grants_itself_a_lease_over_its_sockets_and_takes_it_back(tmp_path, free_address):
    membership = MembershipService(MembershipConfig("a", "", free_address, (), b"fleet", SwimConfig()))
    terms = state_machine.LeaseTerms(retry_us=20_000)
    config = LeaseConfig(
        free_address,
        free_address,
        {"a": free_address},
        (LeaseTask("nightly"),),
        terms,
        election_s=0.05,
        folder=str(tmp_path),
    )

    async def run_scenario():
        leases = LeaseService(config, membership, seed=1)
        await leases.open()
        with mock.patch.object(learner, "FIRST_VOTE_DELAY_S", 0), anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leases.run)
                await wait_until(lambda: leases.fencing_token("nightly"))
                assert leases.fencing_token("nightly") == 1
                assert leases.view()["tasks"][0]["holder"] == "a"
                await leases.announce_departure()
                await wait_until(lambda: leases.view()["tasks"][0]["holder"] == "")
                assert leases.fencing_token("nightly") == 0
                tasks.cancel_scope.cancel()

    anyio.run(run_scenario)
