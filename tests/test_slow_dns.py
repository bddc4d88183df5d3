"""Discovery by DNS-SD from a server that takes a moment for each answer."""

import threading
import time

import anyio
import pytest
from standins import running_courier, wait_until

from pinspread.config import dnssd

pytestmark = pytest.mark.anyio

ENDPOINTS = 26
ANSWER_S = 0.05
REFRESH_S = 1.0
LINES = ["$TTL 60", "host A 127.0.0.1"] + [
    line
    for number in range(ENDPOINTS)
    for line in (
        f"_http._tcp PTR e{number}._http._tcp",
        f"e{number}._http._tcp SRV 0 0 9 host",
        f'e{number}._http._tcp TXT "dest=1" "rate=5"',
    )
]


class SlowRecords(dnssd.Records):
    """Records of a zone file whose answers take a moment; counts how many questions are open at a time."""

    def __init__(self, path):
        super().__init__("partners.example.", zone_file=str(path))
        self.lock, self.asking, self.most, self.starts_s = threading.Lock(), 0, 0, []

    def refresh(self):
        self.starts_s.append(time.monotonic())
        super().refresh()

    def ask(self, name, kind):
        with self.lock:
            self.asking += 1
            self.most = max(self.most, self.asking)
        time.sleep(ANSWER_S)
        with self.lock:
            self.asking -= 1
        return super().ask(name, kind)


async def test_a_removed_record_is_known_one_interval_and_one_look_later(tmp_path):
    """Guards against calls to a removed endpoint for the time of dozens of questions asked in turn."""
    path = tmp_path / "zone"
    path.write_text("\n".join(LINES) + "\n")
    records = SlowRecords(path)
    async with running_courier(tmp_path) as courier:
        source = dnssd.DnsSdSource(records, ["_http._tcp"], REFRESH_S)
        courier.tasks.start_soon(dnssd.DnsSdDiscovery(courier.engine, source).run)
        endpoints = courier.engine.endpoints
        await wait_until(lambda: len(endpoints) == ENDPOINTS)
        path.write_text("\n".join(LINES[:-3]) + "\n")
        await wait_until(lambda: len(endpoints) == ENDPOINTS - 1)
        assert 1 < records.most <= dnssd.MAX_QUERIES
        await wait_until(lambda: len(records.starts_s) > 2)
        gaps_s = [
            later - earlier for earlier, later in zip(records.starts_s, records.starts_s[1:], strict=False)
        ]
        assert max(gaps_s) < 2 * REFRESH_S


async def test_a_server_that_fails_one_question_leaves_the_list_as_it_was(tmp_path):
    """Guards against endpoints that are dropped because one of several questions at a time had no answer."""
    path = tmp_path / "zone"
    path.write_text("\n".join(LINES) + "\n")
    records = SlowRecords(path)
    async with running_courier(tmp_path) as courier:
        discovery = dnssd.DnsSdDiscovery(courier.engine, dnssd.DnsSdSource(records, ["_http._tcp"], 0.1))
        courier.tasks.start_soon(discovery.run)
        await wait_until(lambda: len(courier.engine.endpoints) == ENDPOINTS)
        ask = records.ask

        def fail_once(name, kind):
            if str(name).startswith("e7."):
                raise TimeoutError("no answer")
            return ask(name, kind)

        records.ask = fail_once
        before = len(records.starts_s)
        await wait_until(lambda: len(records.starts_s) > before + 2)
        await anyio.sleep(0.05)
        assert len(courier.engine.endpoints) == ENDPOINTS
