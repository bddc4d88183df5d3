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
from typing import NamedTuple

from pinspread.membership import swim
from pinspread.membership.members import MemberState

MS = 1000
WARM_US = 6_000_000
MAX_US = 120_000_000


class Detection(NamedTuple):
    """What one size came to; None where it did not happen in time."""

    messages_per_s: float  # that a member sends, before the stop
    first_suspect_s: float | None  # after the stop
    dead_at_all_s: float | None  # after the stop


def joined_members(n, seed):
    """Members that all know each other and are not in step."""
    tuning = swim.SwimConfig()
    members = [swim.SwimMember(f"m{i}", f"a{i}", tuning, random.Random(seed * 7919 + i)) for i in range(n)]
    rows = {m.id: m.table[m.id] for m in members}
    for m in members:
        m.members.records = ChainMap({m.id: rows[m.id]}, rows)
        m.members.probe_order = [i for i in rows if i != m.id]
        m.rng.shuffle(m.members.probe_order)
        m.members.live_count = n - 1
        m.next_probe_us = m.rng.randrange(tuning.period_us)
        m.table_sync.next_us = m.rng.randrange(tuning.sync_us)
    return members


class SimulatedNetwork:
    """Members in virtual time, of which one stops after `WARM_US`; times are in microseconds."""

    def __init__(self, n, seed):
        self.members = joined_members(n, seed)
        self.by_address = {m.address: k for k, m in enumerate(self.members)}
        self.rng = random.Random(seed)
        self.wake_us = [m.due_us() for m in self.members]
        self.heap = [(due_us, 0, k, None) for k, due_us in enumerate(self.wake_us)]
        heapq.heapify(self.heap)
        self.planned = 0
        self.victim = n // 2
        self.stopped = False
        self.sent_before_stop = 0
        self.first_suspect_us = None
        self.informed = set()  # members that say that the victim is dead

    def play(self, max_us):
        """Play until all others say that the victim is dead; what was measured."""
        dead_at_all_us = None
        while self.heap and dead_at_all_us is None:
            now_us, _, k, message = heapq.heappop(self.heap)
            if now_us > max_us:
                break
            self.stop_victim(now_us)
            if self.stopped and k == self.victim:
                continue
            if message is None and now_us != self.wake_us[k]:
                continue  # a timer that was moved
            self.turn(k, message, now_us)
            if len(self.informed) == len(self.members) - 1:
                dead_at_all_us = now_us
        rate = self.sent_before_stop / len(self.members) / (WARM_US / 1e6)
        return Detection(rate, seconds_after_stop(self.first_suspect_us), seconds_after_stop(dead_at_all_us))

    def stop_victim(self, now_us):
        """Stop the victim once its time has come."""
        if not self.stopped and now_us >= WARM_US:
            self.stopped = True
            self.sent_before_stop = sum(m.counts["sent"] for m in self.members)

    def turn(self, k, message, now_us):
        """Give a member its message, or its timer, and deliver what it sends."""
        member = self.members[k]
        sent = member.tick(now_us) if message is None else member.receive(message, now_us)
        for address, one in sent:
            self.plan(now_us + self.rng.randrange(1 * MS, 3 * MS), self.by_address[address], one)
        self.observe(k, now_us)
        due_us = member.due_us()
        if due_us != self.wake_us[k]:
            self.wake_us[k] = due_us
            self.plan(max(due_us, now_us), k, None)

    def plan(self, at_us, k, message):
        """Plan the arrival of a message, or a timer where it is None."""
        self.planned += 1
        heapq.heappush(self.heap, (at_us, self.planned, k, message))

    def observe(self, k, now_us):
        """Note what a member's events say of the victim."""
        victim_id = self.members[self.victim].id
        for event in self.members[k].events:
            if self.stopped and getattr(event, "id", None) == victim_id:
                if event.state == MemberState.SUSPECT and self.first_suspect_us is None:
                    self.first_suspect_us = now_us
                if event.state == MemberState.DEAD:
                    self.informed.add(k)
        self.members[k].events.clear()


def seconds_after_stop(at_us):
    """Seconds from the stop to a time in microseconds; None stays None."""
    return None if at_us is None else (at_us - WARM_US) / 1e6


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
    """Print a row a size; plot them if there is a path."""
    print("members  messages/member/s  first suspect s  dead at all s  wall s")
    rows = []
    for n in sizes:
        began = time.monotonic()
        rows.append((n, *SimulatedNetwork(n, seed=1).play(MAX_US)))
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
