"""SWIM's decision module at sizes no machine holds as processes: `python benchmarks/members_model.py [N ...] [OUT.png]`.

Each of N members is a `swim.SwimMember` in one process, with whole tables at the start (a fleet that has met), on a
network that delivers in 1 to 3 ms and loses nothing. After 6 s one member stops. Prints, a row a size: messages
a member sends a second before the stop, seconds until the first member suspects and until every other says dead,
and the wall time taken; with OUT.png, a plot of them. Members share the rows that they have not changed. SWIM's claim is that the first two stay flat in N and the third grows with log N.
"""

import heapq
import random
import sys
import time
from collections import ChainMap

from pinspread.membership import swim
from pinspread.membership.members import MemberState

MS = 1000
WARM_US = 6_000_000


def fleet(n, seed):
    tuning = swim.SwimConfig()
    members = [swim.SwimMember(f"m{i}", f"a{i}", tuning, random.Random(seed * 7919 + i)) for i in range(n)]
    rows = {m.id: m.table[m.id] for m in members}
    for m in members:
        m.members.records = ChainMap({m.id: rows[m.id]}, rows)
        m.members.probe_order = [i for i in rows if i != m.id]
        m.rng.shuffle(m.members.probe_order)
        m.members.live_count = n - 1
        m.next_probe_us = m.rng.randrange(tuning.period_us)  # not all in step
        m.table_sync.next_us = m.rng.randrange(tuning.sync_us)
    return members


def play(n, seed=1, most_us=120_000_000):
    members = fleet(n, seed)
    by_address = {m.address: k for k, m in enumerate(members)}
    rng = random.Random(seed)
    heap, order = [], 0
    wake = [0] * n
    for k, m in enumerate(members):
        wake[k] = m.due_us()
        heap.append((wake[k], 0, k, None))
    heapq.heapify(heap)
    victim, stopped = n // 2, False
    sent_warm, dead_at, first_suspect, told = 0, None, None, set()
    while heap:
        now, _, k, message = heapq.heappop(heap)
        if now > most_us:
            break
        if not stopped and now >= WARM_US:
            stopped = True
            sent_warm = sum(m.counts["sent"] for m in members)
        if stopped and k == victim:
            continue
        m = members[k]
        if message is None:
            if now != wake[k]:
                continue  # a wake that was moved
            out = m.tick(now)
        else:
            out = m.receive(message, now)
        for address, sent in out:
            order += 1
            heapq.heappush(heap, (now + rng.randrange(1 * MS, 3 * MS), order, by_address[address], sent))
        for event in m.events:
            if stopped and getattr(event, "id", None) == members[victim].id:
                if event.state == MemberState.SUSPECT and first_suspect is None:
                    first_suspect = now
                if event.state == MemberState.DEAD:
                    told.add(k)
        m.events.clear()
        if len(told) == n - 1:
            dead_at = now
            break
        due = m.due_us()
        if due != wake[k]:
            wake[k] = due
            order += 1
            heapq.heappush(heap, (max(due, now), order, k, None))
    rate = sent_warm / n / (WARM_US / 1e6)
    suspect_s = None if first_suspect is None else (first_suspect - WARM_US) / 1e6
    dead_s = None if dead_at is None else (dead_at - WARM_US) / 1e6
    return rate, suspect_s, dead_s


def plot(rows, path):
    """Messages a member sends a second, and detection times, against N."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [r[0] for r in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.plot(sizes, [r[1] for r in rows], marker="o")
    left.set(xscale="log", xlabel="members", ylabel="messages a member sends a second", ylim=(0, None))
    right.plot(sizes, [r[2] for r in rows], marker="o", label="first suspicion")
    right.plot(sizes, [r[3] for r in rows], marker="s", label="dead at all others")
    right.set(xscale="log", xlabel="members", ylabel="seconds after the stop", ylim=(0, None))
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main(sizes, path=None):
    print("members  messages/member/s  first suspect s  dead at all s  wall s")
    rows = []
    for n in sizes:
        began = time.monotonic()
        rows.append((n, *play(n)))
        _, rate, suspect_s, dead_s = rows[-1]
        print(
            f"{n:7}  {rate:17.2f}  {suspect_s:15.2f}  {dead_s:13.2f}  {time.monotonic() - began:6.1f}",
            flush=True,
        )
    if path:
        plot(rows, path)


if __name__ == "__main__":
    words = sys.argv[1:]
    main(
        [int(a) for a in words if a.isdigit()] or [100, 1000],
        next((a for a in words if not a.isdigit()), None),
    )
