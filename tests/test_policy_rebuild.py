"""A turn of the policy that raises: a new policy goes on with what the engine knows."""

import random
from collections import Counter

import anyio
import pytest
from platform_helpers import OK, acknowledging_platform, delayed_reply
from standins import Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.core.policy_rebuild import MAX_FAILURES_IN_A_ROW
from pinspread.policy.delivery_policy import DeliveryPolicy

pytestmark = pytest.mark.anyio

CLASSES = ("payment", "booking-change", "status-update")
KEY = "77"


def break_turns(monkeypatch, is_broken):
    """Have turns raise, before or after the policy has changed its state, where `is_broken()`."""
    handle = DeliveryPolicy.handle

    def handle_or_raise(self, now_ns, batch):
        broken = is_broken()
        actions = handle(self, now_ns, batch)
        if broken:
            raise OverflowError("cannot convert float infinity to integer")
        return actions

    monkeypatch.setattr(DeliveryPolicy, "handle", handle_or_raise)


# Guards against a fault in one turn that ended the process, with all that was accepted.
@pytest.mark.parametrize("seed", range(8))
async def test_no_message_is_lost_repeated_or_out_of_order_when_turns_fail(tmp_path, monkeypatch, seed):
    draw, last = random.Random(seed), [False]

    def is_broken():
        last[0] = not last[0] and draw.random() < 0.15  # never two in a row
        return last[0]

    out, most_out = Counter(), Counter()

    async def answer(class_name):
        out[class_name] += 1
        most_out[class_name] = max(most_out[class_name], out[class_name])
        await anyio.sleep(draw.uniform(0.005, 0.05))
        out[class_name] -= 1
        return OK

    endpoint = HttpStandIn(lambda request: answer(request[3]["request-id"][:-3]))
    async with (
        serve_on_loopback(acknowledging_platform()) as platform,
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, platform, endpoints=[(address,)]) as courier,
    ):
        client = Client(courier.address)
        break_turns(monkeypatch, is_broken)
        ids = []
        for n in range(60):
            class_name = CLASSES[n % 3]
            ids.append(f"{class_name}-{n:02}")
            key = KEY if class_name == "booking-change" else "0"
            assert await client.enqueue(class_name, ids[-1], key=key) == "+OK\r\n"
            await anyio.sleep(0.005)
        await wait_until(lambda: not courier.engine.messages_by_id, 10)
        monkeypatch.undo()
    called = [request[3]["request-id"] for request in endpoint.requests if request[1] == "POST"]
    assert Counter(called) == Counter(ids)
    in_order = [id_ for id_ in called if id_.startswith("booking-change")]
    assert in_order == sorted(in_order)
    assert most_out["booking-change"] == 1 < most_out["status-update"]  # those of a key go one at a time


async def test_an_attempt_that_is_out_when_a_turn_fails_is_awaited(tmp_path, monkeypatch):
    answers = [delayed_reply(0.4, (503, [], b"")), delayed_reply(0.0)]
    endpoint = HttpStandIn(lambda request: answers.pop(0))
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client, broken = Client(courier.address), [True]
        assert await client.enqueue("payment", "paid") == "+OK\r\n"
        await wait_until(lambda: endpoint.requests)
        break_turns(monkeypatch, lambda: broken and broken.pop())
        courier.engine.apply_settings(courier.engine.settings)
        await anyio.sleep(0.2)
        assert not broken and len(endpoint.requests) == 1  # it is out, and not sent a second time
        await wait_until(lambda: not courier.engine.open_messages)
        assert len(endpoint.requests) == 2  # the refusal proved that it never ran
        monkeypatch.undo()


async def test_a_policy_that_fails_again_and_again_ends_the_process(tmp_path, monkeypatch):
    turns = []
    with pytest.raises(BaseExceptionGroup):
        async with running_courier(tmp_path) as courier:
            break_turns(monkeypatch, lambda: turns.append(1) or True)
            courier.engine.apply_settings(courier.engine.settings)
            await anyio.sleep(1)
    monkeypatch.undo()
    assert len(turns) == MAX_FAILURES_IN_A_ROW + 1
