"""Case 1: a configuration that is short of the key `discovery` moves discovery and the notices."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.parties import Courier, Endpoint, Platform, Record, enqueue, hand_in, play, until

DEADLINE_MS = 2000
LATE_S = 0.35  # 300 ms after its time is up, and 50 ms more on sockets
MOVED_S = 4.0  # after SIGHUP, until the old address is given up
ROUNDS = 8
FAILING = "f"  # the first letter of the ids that the endpoint answers with 500


async def case(folder: Path, record: Record, trouble: bool) -> int:
    """Move discovery, give a broken file, hand messages in; return whether one was lost."""
    old, new = Platform("old", record), Platform("new", record)
    endpoint = Endpoint("e1", record, lambda id_: 500 if id_.startswith(FAILING) else 200, 0.1)
    for party in (old, new, endpoint):
        await party.start()
    for platform in (old, new):
        platform.add("s-1", endpoint.address, 1)
    courier = Courier(folder, old, record)
    try:
        courier.write()
        await courier.start()
        if not await until(lambda: old.watches > 0, 5):
            return 2
        courier.configuration["discovery"] = new.address
        courier.write()
        courier.signal(signal.SIGHUP)
        if not await until(lambda: new.watches > 0, 5):
            return 2
        await asyncio.sleep(MOVED_S)
        await old.stop()
        record.write("the old address of discovery is gone")
        if trouble:
            broken = {key: value for key, value in courier.configuration.items() if key != "discovery"}
            courier.write(broken)
            courier.signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        return await judge(courier, endpoint, new, record)
    finally:
        courier.kill()
        for party in (old, new, endpoint):
            await party.stop()


async def judge(courier: Courier, endpoint: Endpoint, platform: Platform, record: Record) -> int:
    """Hand messages in; each that was taken on is delivered, or ended by a notice in time."""
    due: dict[str, float] = {}
    for number in range(ROUNDS):
        for letter in (FAILING, "d"):
            id_ = f"{letter}{number:015x}"
            sent = record.now()
            command = enqueue(id_, f"c=payment,t=north,d={DEADLINE_MS},dest=1")
            answer = await hand_in(courier.port, command)
            record.write("client:", id_, "answered", answer)
            if answer.startswith("+"):
                due[id_] = sent + DEADLINE_MS / 1000 + LATE_S
        await asyncio.sleep(0.2)
    await asyncio.sleep(DEADLINE_MS / 1000 + LATE_S + 0.5)
    ends = endpoint.delivered | {id_: at for id_, (at, _) in platform.notices.items()}
    lost = [id_ for id_, until_s in due.items() if ends.get(id_, until_s + 1) > until_s]
    record.write(f"{len(due)} taken on, {len(lost)} lost:", *lost)
    if not due:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
