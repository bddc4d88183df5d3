"""A state folder whose writes fail for a while: what was accepted is owed, and what ended is not recalled."""

import errno
import random
import time
from contextlib import suppress

import anyio
import pytest
from failing_os import FailingOs
from platform_helpers import acknowledging_platform, delayed_reply
from standins import Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.core import journal as journal_module
from pinspread.core.journal import Journal
from pinspread.core.messages import FinalResult, FinalState, Message
from pinspread.errors import JournalFullError


def message(number, **more):
    return Message(number, f"id{number}", "payment", "all", 1, 0, "", 10**18, b"body", "resp", **more)


@pytest.fixture
def failing_os(monkeypatch):
    def patch(*calls, seed=1):
        module = FailingOs(calls, seed)
        monkeypatch.setattr(journal_module, "os", module)
        return module

    return patch


def recovered(folder):
    journal = Journal(str(folder), 3_000_000)
    journal.read()
    return journal


@pytest.mark.parametrize(
    "calls",
    [
        ("write",),
        ("write", "ftruncate"),
        ("write", "rename"),
        ("write", "ftruncate", "rename", "open", "close"),
        ("close",),
    ],
    ids="+".join,
)
@pytest.mark.parametrize("seed", range(4))
def test_what_was_recorded_is_recovered_whatever_calls_failed_in_between(tmp_path, failing_os, calls, seed):
    module = failing_os(*calls, seed=seed)
    draw = random.Random(seed)
    journal = Journal(str(tmp_path), 60_000)  # small, so that it is rewritten
    journal.recover()
    promised, ended = {}, set()
    for number in range(1, 400):
        module.failing = number % 40 > 25
        taken = message(number)
        try:
            journal.message_accepted(taken)
        except JournalFullError:
            continue
        promised[number] = taken
        if draw.random() < 0.8 and not module.failing:
            gone = promised.pop(draw.choice(list(promised)))
            journal.message_ended(gone)
            ended.add(gone.number)
    module.failing = False
    found = recovered(tmp_path).open_messages
    assert promised.keys() <= found.keys()
    assert not ended & found.keys()


class Replicated:
    """An observer of a journal that keeps what a replica gets; no rewrite can be reported while `failing`."""

    def __init__(self):
        self.data, self.failing, self.refused = b"", False, 0

    def appended(self, record):
        self.data += record

    def rewritten(self, data):
        if self.failing:
            self.refused += 1
            raise OSError(errno.ENOSPC, "injected")
        self.data = data


def test_a_rewrite_that_cannot_be_replicated_is_tried_again_and_nothing_is_missing_from_the_replica(tmp_path):
    """Guards against an `OSError` in place of a full journal, and a replica that stays behind."""
    journal = Journal(str(tmp_path), 20_000)
    journal.observer = replica = Replicated()
    journal.recover()
    accepted = {}
    for number in range(1, 600):
        replica.failing = number % 40 > 25
        taken = message(number)
        try:
            journal.message_accepted(taken)
        except JournalFullError:
            continue
        accepted[number] = taken
        if len(accepted) > 5:
            with suppress(JournalFullError):
                journal.message_ended(accepted.pop(next(iter(accepted))))
    (tmp_path / "replica").mkdir()
    (tmp_path / "replica" / journal.path.name).write_bytes(replica.data)
    assert accepted.keys() <= recovered(tmp_path / "replica").open_messages.keys()
    assert accepted.keys() <= recovered(tmp_path).open_messages.keys()
    assert replica.refused and replica.data == journal.path.read_bytes()


def test_an_attempt_whose_start_is_not_recorded_is_not_in_flight(tmp_path, failing_os):
    module = failing_os("write", "open")
    journal = Journal(str(tmp_path), 3_000_000)
    journal.recover()
    taken = message(1)
    journal.message_accepted(taken)
    module.failing = True
    with pytest.raises(JournalFullError):
        journal.attempt_started(taken, 0, 5)
    assert not taken.in_flight_since_unix_us and not taken.attempts


def test_a_rewrite_just_before_the_record_of_an_attempt_does_not_make_it_one_that_may_have_run(tmp_path):
    journal = Journal(str(tmp_path), 3_000_000)
    journal.recover()
    taken = message(1)
    journal.message_accepted(taken)
    journal.incomplete = True
    journal.attempt_started(taken, 0, 5)
    journal.incomplete = True
    journal.attempt_ended(taken, 0, may_have_run=False)
    found = recovered(tmp_path).open_messages[1]
    assert not found.may_have_run_unix_us and not found.in_flight_since_unix_us and found.attempts == 1


def test_what_happened_while_nothing_could_be_written_is_in_the_file_after_the_next_record(
    tmp_path, failing_os
):
    module = failing_os("write", "ftruncate", "rename", "open")
    journal = Journal(str(tmp_path), 3_000_000)
    journal.recover()
    for number in (1, 2):
        journal.message_accepted(message(number))
    module.failing = True
    for write in (
        lambda: journal.message_ended(journal.open_messages[1]),
        lambda: journal.final_result(journal.open_messages[2], FinalResult(FinalState.RETURNED)),
    ):
        with pytest.raises(JournalFullError):
            write()
    module.failing = False
    journal.message_accepted(message(3))
    found = recovered(tmp_path)
    assert found.open_messages.keys() == {2, 3} and found.open_messages[2].final is not None


@pytest.mark.anyio
async def test_a_courier_repairs_its_journal_once_the_folder_can_be_written_again(tmp_path, failing_os):
    module = failing_os("write", "ftruncate", "rename", "open")
    endpoint = HttpStandIn(lambda request: delayed_reply(0.2))
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client = Client(courier.address)
        assert await client.enqueue(id_="p1") == "+OK\r\n"
        await wait_until(lambda: endpoint.requests)
        module.failing = True
        assert (await client.enqueue(id_="p2")).startswith("-BUSY")
        await wait_until(lambda: not courier.engine.messages_by_id)
        module.failing = False
        await wait_until(lambda: not courier.engine.journal.incomplete, 1.0)
        assert not recovered(tmp_path).open_messages


@pytest.mark.anyio
@pytest.mark.parametrize("fails_s", [0.4, 2.0])
async def test_a_final_result_that_is_not_recorded_is_notified_once_it_is_or_at_its_deadline(
    tmp_path, failing_os, fails_s
):
    module = failing_os("write", "ftruncate", "rename", "open")
    endpoint, platform = (
        HttpStandIn(lambda request: delayed_reply(0.1, (500, [], b""))),
        acknowledging_platform(),
    )
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(platform) as discovery,
        running_courier(tmp_path, discovery, [(address,)]) as courier,
    ):
        await Client(courier.address).enqueue(id_="p1", for_ms=1000)
        accepted_s = time.monotonic()
        await wait_until(lambda: endpoint.requests)
        module.failing = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_until, lambda: platform.requests)
            await anyio.sleep(fails_s)
            module.failing = False
        notified_s = platform.requests[0].received_s - accepted_s
    assert min(fails_s, 1.0) <= notified_s <= min(fails_s, 1.0) + 0.3
