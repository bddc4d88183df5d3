"""A discovery that writes slowly, or was away: its changes are followed, and in time."""

import time
from contextlib import suppress

import anyio
import pytest
from discovery_stand_in import list_line, watched
from standins import host, wait_until

from pinspread.discovery import client as discovery_client
from pinspread.discovery.backoff import MAX_DOUBLINGS, reopen_delay_s

pytestmark = pytest.mark.anyio

S1 = host("s-1", "127.0.0.1:9")
FASTER = 4  # the time-outs of `watched` are divided by this
PIECES = 10
TOLD_S = 6.0  # a change counts as reported so long after discovery had it and could be reached


async def say_slowly(discovery, n, line, seconds, head=False):
    """Write a line to a watch in pieces over this time, unless the courier ends the watch."""
    size = -(-len(line) // PIECES)
    with suppress(OSError):
        for start in range(0, len(line), size):
            discovery.say(n, line[start : start + size], head=head and not start)
            await anyio.sleep(seconds / PIECES)


async def test_lines_that_take_longer_than_another_watch_is_waited_for_are_read(tmp_path, monkeypatch):
    """Guards against a watch that is ended within each line, and messages to endpoints that have left."""
    slow_s = 1.5 * discovery_client.FIRST_LINE_TIMEOUT_S / FASTER
    async with (
        watched(tmp_path, monkeypatch, FASTER) as (courier, discovery, watch),
        anyio.create_task_group() as tasks,
    ):
        served = set()

        async def serve(n):
            await say_slowly(discovery, n, list_line(5, S1) + b"\n", slow_s, head=True)
            draining = list_line(6, S1 | {"health": "draining"}, whole=False)
            await say_slowly(discovery, n, draining + b"\n", slow_s)

        async def serve_all():
            while True:
                for n in set(range(len(discovery.watches))) - served:
                    served.add(n)
                    tasks.start_soon(serve, n)
                await anyio.sleep(0.01)

        tasks.start_soon(serve_all)
        await wait_until(lambda: "s-1" in courier.engine.endpoints, TOLD_S / FASTER)
        await wait_until(lambda: not courier.engine.endpoints["s-1"].usable, TOLD_S / FASTER)
        assert watch.sequence == 6 and len(discovery.watches) <= 3
        tasks.cancel_scope.cancel()


async def test_a_slow_line_of_the_watch_that_is_followed_ends_the_watch_that_was_opened_beside(
    tmp_path, monkeypatch
):
    """Guards against a list that was written before a change, and read behind it."""
    async with watched(tmp_path, monkeypatch, FASTER) as (courier, discovery, watch):
        discovery.say(0, list_line(5, S1) + b"\n", head=True)
        await wait_until(lambda: "s-1" in courier.engine.endpoints)
        await wait_until(lambda: len(discovery.watches) == 2, 2)  # the first one counts as silent
        discovery.say(1, list_line(5, S1), head=True)  # without its end
        await anyio.sleep(0.05)
        discovery.say(0, list_line(6, S1 | {"health": "draining"}, whole=False) + b"\n")
        await wait_until(lambda: watch.sequence == 6)
        with suppress(OSError):
            discovery.say(1, b"\n")
        await anyio.sleep(0.1)
        assert watch.sequence == 6 and not courier.engine.endpoints["s-1"].usable


@pytest.mark.parametrize("trickles", [False, True])
async def test_watches_that_begin_and_never_send_a_line_do_not_keep_the_others_from_being_opened(
    tmp_path, monkeypatch, trickles
):
    """Guards against a courier that waits for ever for watches that hang in their first line."""
    for name in ("STARTING_IDLE_TIMEOUT_S", "STARTING_TIMEOUT_S"):
        monkeypatch.setattr(discovery_client, name, getattr(discovery_client, name) / FASTER)
    async with (
        watched(tmp_path, monkeypatch, FASTER) as (courier, discovery, _),
        anyio.create_task_group() as tasks,
    ):

        async def hang(n):
            with suppress(OSError):
                discovery.say(n, b"{", head=True)
                while trickles:
                    await anyio.sleep(0.05)
                    discovery.say(n, b" ")

        start = time.monotonic()
        for n in range(7):  # more than may be begun at a time
            await wait_until(lambda n=n: len(discovery.watches) > n)
            tasks.start_soon(hang, n)
        await wait_until(lambda: len(discovery.watches) > 7)
        discovery.say(7, list_line(5, S1) + b"\n", head=True)
        await wait_until(lambda: "s-1" in courier.engine.endpoints)
        assert time.monotonic() - start < 2 * discovery_client.STARTING_TIMEOUT_S + 1
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("instances", [1, 3, 48, 200, 3200])
@pytest.mark.parametrize("chance", [0.0, 1.0])
def test_a_watch_is_opened_again_in_time_in_fleets_of_any_size(instances, chance):
    """Guards against endpoints that get calls long after they have left, once discovery is back."""
    delays_s = [reopen_delay_s(failures, instances, chance) for failures in range(2 * MAX_DOUBLINGS)]
    assert max(delays_s) <= TOLD_S - discovery_client.RESPONSE_TIMEOUT_S
    assert min(delays_s) > 0


def test_couriers_of_a_large_fleet_do_not_ask_at_the_same_time():
    """Guards against a service that is overloaded by all couriers at once when it is back."""
    delays_s = [reopen_delay_s(3, 200, step / 200) for step in range(201)]
    steps_s = [after - before for before, after in zip(delays_s[:-1], delays_s[1:], strict=True)]
    assert max(delays_s) - min(delays_s) > 2 and max(steps_s) < 0.05
