"""Bundles, several messages in one call, and load reports in responses."""

from base64 import b64decode
from types import SimpleNamespace

import anyio
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import Client, HttpStandIn, configuration, running_courier, serve_on_loopback, wait_until
from test_settings import lane

from pinspread.config import settings
from pinspread.core.bundling import group_into_calls
from pinspread.http import bundle
from pinspread.policy.events import AttemptCompleted, Outcome

pytestmark = pytest.mark.anyio
ACKNOWLEDGED = (204, [], b"")


# --- without I/O --------------------------------------------------------------------------------------


@given(st.lists(st.integers(1, 10_000), max_size=20), st.integers(1, 6))
def test_calls_hold_each_attempt_once_within_the_bundle_size_and_of_about_one_time(timeouts, max_size):
    attempts = [
        SimpleNamespace(timeout_us=timeout_us, message=SimpleNamespace(number=n))
        for n, timeout_us in enumerate(timeouts)
    ]
    calls = group_into_calls(attempts, max_size)
    assert sorted(attempt.message.number for call in calls for attempt in call) == list(range(len(timeouts)))
    for call in calls:
        call_timeouts = [attempt.timeout_us for attempt in call]
        assert len(call) <= max_size and min(call_timeouts) >= 0.9 * max(call_timeouts)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 9)
    | st.sampled_from(["a", "b", "ok", "later", "id", "state"]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.sampled_from(["id", "state"]), inner),
)


@given(JSON | st.binary(max_size=30))
def test_whatever_an_answer_holds_only_a_state_given_once_counts(answer):
    body = answer if isinstance(answer, bytes) else orjson.dumps(answer)
    results = bundle.parse_results(body, ["a", "b"], 0)
    assert list(results) == ["a", "b"]
    items = [i for i in answer if isinstance(i, dict)] if isinstance(answer, list) else []
    for id_, result in results.items():
        states = [i.get("state") for i in items if i.get("id") == id_]
        if len(states) != 1 or states[0] not in ("ok", "later"):
            assert result.outcome is Outcome.ERROR


@pytest.mark.parametrize(
    ("state", "outcome", "no_longer_wanted"),
    [
        ("ok", Outcome.OK, False),
        ("error", Outcome.ERROR, False),
        ("later", Outcome.OVERLOADED, False),
        ("gone", Outcome.NOT_SENT, True),
        ("exhausted", Outcome.NOT_SENT, False),
        ("OK", Outcome.ERROR, False),
        (["ok"], Outcome.ERROR, False),
    ],
)
def test_states_of_an_answer(state, outcome, no_longer_wanted):
    body = orjson.dumps([{"id": "m", "state": state}, {"id": "invented", "state": "ok"}])
    result = bundle.parse_results(body, ["m"], 7)["m"]
    assert (result.outcome, result.no_longer_wanted) == (outcome, no_longer_wanted)
    assert result.retry_after_us == (0 if state == "ok" else 7)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("x0=0.4,x1=25", {"x0": 0.4, "x1": 25.0}),
        ("x1=0", {"x1": 0.0}),
        (" x0=1 , new=3", {"x0": 1.0, "new": 3.0}),
        *(
            (text, None)
            for text in ("", "x0", "x0=", "=1", "x0=nan", "x0=inf", "x0=-1", "x0=1,x0=2", "x0=1;x1=2")
        ),
    ],
)
def test_load_reports(text, expected):
    if expected is None:
        with pytest.raises(ValueError):
            bundle.parse_load_report(text)
    else:
        assert bundle.parse_load_report(text) == expected


# --- on sockets ----------------------------------------------------------------------------------------


def ids_in_bundle(request):
    """Return the ids of the messages in a bundle, in order."""
    return [item["id"] for item in orjson.loads(request[4])]


async def delay_first(n, answer):
    await anyio.sleep(0.1 if n == 1 else 0)
    return await answer if hasattr(answer, "__await__") else answer


class BundlingEndpoint(HttpStandIn):
    """An endpoint that takes bundles: `answer_bundle(n, ids)` gives the response if call n is a bundle."""

    def __init__(self, answer_bundle=None):
        self.calls = []
        self.answer_bundle = answer_bundle or (lambda n, ids: all_ok(ids))
        super().__init__(self.take)

    def take(self, request):
        return delay_first(len(self.calls) + 1, self.record_and_answer(request))

    def record_and_answer(self, request):
        ids = ids_in_bundle(request) if request[2] == bundle.PATH else [request[3]["request-id"]]
        self.calls.append(ids)
        if request[2] != bundle.PATH:
            return 200, [], b""
        return self.answer_bundle(len(self.calls), ids)


def all_ok(ids, *other_states):
    """Return a response with the state `ok` for all ids, except for the given pairs of id and state."""
    states = {i: "ok" for i in ids} | dict(other_states)
    return 200, [], orjson.dumps([{"id": i, "state": s} for i, s in states.items()])


def bundling_settings(folder):
    """Return settings with a keyed class, bundles of three, separate routes, load reports and no probes."""
    raw_settings = configuration(folder)["settings"]
    raw_settings["lanes"] = [
        lane("payment", effect="once"),
        lane("notice", effect="by_key", windowNs=6 * 10**9),
    ]
    raw_settings["specifics"] = {"bundleMax": [3], "callsOut": 1, "kindApart": [True]}
    raw_settings["policyLimits"] |= {"probes": False, "sendCap": 8}
    raw_settings["report"] = {"how": "answers", "fields": ["x0", "x1"]}
    return settings.read(configuration(folder) | {"settings": raw_settings}, {})


async def deliver_in_bundles(folder, endpoint, messages=5, cls="notice", wait=True):
    """Submit messages while the first is in flight alone, so that the others are bundled.

    Returns:
        The states that the platform was notified of, by message id.
    """
    platform = HttpStandIn(lambda request: ACKNOWLEDGED)
    async with (
        serve_on_loopback(platform) as address,
        serve_on_loopback(endpoint) as endpoint_address,
        running_courier(folder, address) as courier,
    ):
        courier.engine.apply_settings(bundling_settings(folder))
        http = courier.engine.transports["http"]
        http.reports = True
        courier.update_endpoints(endpoint_address)
        await anyio.sleep(0.02)
        client = Client(courier.address)
        async with anyio.create_task_group() as tasks:
            for n in range(messages):
                await client.enqueue(cls, f"m{n}", for_ms=24_000, body=bytes([n]) * 9)
            tasks.cancel_scope.cancel()
        if wait:
            await wait_until(lambda: not courier.engine.messages_by_id, 8)
        else:
            await wait_until(lambda: len(endpoint.calls) > 1)
    return {line["id"]: line["state"] for line in platform.lines}


async def test_messages_that_wait_share_a_call_and_each_has_its_own_outcome(tmp_path):
    bundles = {}

    def answer_bundle(n, ids):
        bundles[n] = ids
        return all_ok(ids, (ids[0], "later")) if n == 2 else all_ok(ids)

    endpoint = BundlingEndpoint(answer_bundle)
    notified = await deliver_in_bundles(tmp_path, endpoint)
    assert not notified
    assert endpoint.calls[0] == ["m0"] and endpoint.calls[1] == ["m1", "m2", "m3"]
    assert sum(ids.count("m1") for ids in endpoint.calls) == 2  # only the message that never ran is retried
    assert all(sum(ids.count(f"m{n}") for ids in endpoint.calls) == 1 for n in (0, 2, 3, 4))
    first = next(r for r in endpoint.requests if r[2] == bundle.PATH)
    item = orjson.loads(first[4])[0]
    assert item["key"] == "ab12" and b64decode(item["body"]) == b"\x01" * 9


@pytest.mark.parametrize(
    "answer",
    [
        (200, [], b'[{"id":"m1","state":"ok"}'),  # cut off
        (200, [], b"[]"),
        (200, [], b'[{"id":"m1","state":"later"},{"id":"m1","state":"later"}]'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n[",  # the rest of the body is never sent
        b"noise\r\n\r\n",
        (500, [], b""),
    ],
)
async def test_payments_without_a_well_formed_state_in_the_answer_are_never_retried(tmp_path, answer):
    endpoint = BundlingEndpoint(lambda n, ids: answer)
    notified = await deliver_in_bundles(tmp_path, endpoint, 4, "payment")
    assert sorted(notified) == ["m1", "m2", "m3"] and set(notified.values()) == {"failed"}
    assert endpoint.calls == [["m0"], ["m1", "m2", "m3"]]


@pytest.mark.parametrize("status", [400, 413, 429, 503])
async def test_a_call_that_is_rejected_as_a_whole_never_ran_and_payments_are_retried(tmp_path, status):
    headers = [("Retry-After", "0.3")] if status == 429 else []
    endpoint = BundlingEndpoint(lambda n, ids: (status, headers, b"") if n == 2 else all_ok(ids))
    assert not await deliver_in_bundles(tmp_path, endpoint, 4, "payment")
    for n in (1, 2, 3):
        assert sum(ids.count(f"m{n}") for ids in endpoint.calls) == 2


async def test_a_kill_with_a_bundle_in_flight_leaves_each_message_as_one_that_may_have_run(tmp_path):
    endpoint = BundlingEndpoint(lambda n, ids: anyio.sleep(9))
    await deliver_in_bundles(tmp_path, endpoint, 4, "payment", wait=False)
    platform, after = HttpStandIn(lambda request: ACKNOWLEDGED), BundlingEndpoint()
    async with (
        serve_on_loopback(platform) as address,
        serve_on_loopback(after) as endpoint_address,
        running_courier(tmp_path, address, endpoints=[(endpoint_address,)]) as courier,
    ):
        await wait_until(lambda: not courier.engine.messages_by_id)
    assert {line["id"]: line["state"] for line in platform.lines} == {f"m{n}": "failed" for n in (1, 2, 3)}
    assert not after.calls  # none is sent again after the restart


@pytest.mark.parametrize(("report", "limit"), [("x0=0.25,x1=40", 40.0), ("x0=?", 0.0)])
async def test_load_reports_of_good_and_bad_answers_reach_the_policy_and_malformed_ones_are_ignored(
    tmp_path, report, limit
):
    replies = [(503, [("Server-Load", report)], b"")]
    endpoint = HttpStandIn(lambda r: replies.pop() if replies else (200, [("Server-Load", report)], b""))
    events = []
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        courier.engine.transports["http"].reports = True
        post = courier.engine.events.post
        courier.engine.events.post = lambda event: (events.append(event), post(event))
        assert await Client(courier.address).enqueue() == "+OK\r\n"
        await wait_until(lambda: not courier.engine.messages_by_id)
    completed = [e for e in events if type(e) is AttemptCompleted]
    assert [e.outcome for e in completed] == [Outcome.OVERLOADED, Outcome.OK]
    assert [e.limit_per_s for e in completed] == [limit, limit]
