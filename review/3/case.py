"""Case 3: a configuration that is short of a key of `known` is taken, and the next start ends in an error."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.parties import (
    KILL_AFTER_S,
    RESTART_AFTER_S,
    Courier,
    Endpoint,
    Platform,
    Record,
    enqueue,
    hand_in,
    play,
    until,
)

DEADLINE_MS = 12_000
LATE_S = 0.35  # 300 ms after its time is up, and 50 ms more on sockets
AFTER_READY_S = 1.5  # until then no notice is overdue after a restart
MESSAGES = 30
SERVICE_S = 0.3


async def case(folder: Path, record: Record, trouble: bool) -> int:
    """Give a broken file, hand messages in, restart; return whether one was lost."""
    platform = Platform("p", record)
    endpoint = Endpoint("e1", record, lambda id_: 200, SERVICE_S)
    for party in (platform, endpoint):
        await party.start()
    platform.add("s-1", endpoint.address, 1)
    courier = Courier(folder, platform, record)
    try:
        courier.write()
        await courier.start()
        if not await until(lambda: platform.watches > 0, 5):
            return 2
        if trouble:
            known = {key: value for key, value in platform.whole().items() if key != "hosts"}
            courier.write(courier.configuration | {"known": known})
        courier.signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        due = await hand_all_in(courier, record)
        if not due:
            return 2
        ready = await restart(courier, record)
        await asyncio.sleep(max(*due.values(), ready + AFTER_READY_S) - record.now() + 0.5)
        return judge(due, ready, endpoint, platform, record)
    finally:
        courier.kill()
        for party in (platform, endpoint):
            await party.stop()


async def hand_all_in(courier: Courier, record: Record) -> dict[str, float]:
    """Hand all messages in; return by when each of those that were taken on must have ended."""
    due: dict[str, float] = {}
    for number in range(MESSAGES):
        id_ = f"{number:016x}"
        sent = record.now()
        answer = await hand_in(courier.port, enqueue(id_, f"c=payment,t=north,d={DEADLINE_MS},dest=1"))
        record.write("client:", id_, "answered", answer)
        if answer.startswith("+"):
            due[id_] = sent + DEADLINE_MS / 1000 + LATE_S
    return due


async def restart(courier: Courier, record: Record) -> float:
    """Restart as planned; return when the courier was ready again, or the time now if it ended instead."""
    courier.signal(signal.SIGTERM)
    told = record.now()
    await courier.ended(KILL_AFTER_S)
    courier.signal(signal.SIGKILL)
    await asyncio.sleep(max(0, told + KILL_AFTER_S - record.now()) + RESTART_AFTER_S)
    try:
        await courier.start()
    except RuntimeError as error:
        record.write(error)
        last = courier.log_path.read_text(errors="replace").splitlines()
        record.write("its log:", *[line.strip() for line in last if "Error:" in line])
    return record.now()


def judge(due: dict[str, float], ready: float, endpoint: Endpoint, platform: Platform, record: Record) -> int:
    """Each message that was taken on is delivered, or ended by a notice in time."""
    ends = endpoint.delivered | {id_: at for id_, (at, _) in platform.notices.items()}
    latest = {id_: max(until_s, ready + AFTER_READY_S) for id_, until_s in due.items()}
    lost = [id_ for id_, until_s in latest.items() if ends.get(id_, until_s + 1) > until_s]
    record.write(f"{len(due)} taken on, {len(lost)} lost:", *lost)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
