"""SWIM's decisions in clusters too large for one machine to run: `python benchmarks/members_model.py [N ...] [OUT.png]`.

Each of N members is a `swim.SwimMember` in one process. At the start all members know each other; the simulated
network delivers in 1 to 3 ms and loses nothing. After 6 s one member stops. Prints a row for each size: the messages
that a member sends per second before the stop, the seconds until the first member suspects the stopped one and until
all others take it for dead, and the wall-clock time of the run; with OUT.png, also plots them. Members share the table
rows that they have not changed. SWIM claims that the first two figures do not depend on N and that the third grows
with log N.
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
STOP_US = 6_000_000
MAX_US = 120_000_000


class Detection(NamedTuple):
    """The results for one cluster size; None for what did not happen in time."""

    messages_per_s: float  # sent by each member, before the stop
    first_suspect_s: float | None  # after the stop
    dead_at_all_s: float | None  # after the stop


def joined_members(n, seed):
    """Return members that all know each other and whose timers are not in step."""
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
    """Members in simulated time, one of which stops after `STOP_US`; times are in microseconds."""

    def __init__(self, n, seed):
        self.members = joined_members(n, seed)
        self.by_address = {m.address: index for index, m in enumerate(self.members)}
        self.rng = random.Random(seed)
        self.wake_us = [m.due_us() for m in self.members]
        self.heap = [(due_us, 0, index, None) for index, due_us in enumerate(self.wake_us)]
        heapq.heapify(self.heap)
        self.scheduled = 0
        self.victim = n // 2
        self.stopped = False
        self.sent_before_stop = 0
        self.first_suspect_us = None
        self.observers_of_death = set()  # indices of the members that take the victim for dead

    def run(self, max_us):
        """Run until all others take the victim for dead, or until `max_us`; return the measurements."""
        dead_at_all_us = None
        while self.heap and dead_at_all_us is None:
            now_us, _, index, message = heapq.heappop(self.heap)
            if now_us > max_us:
                break
            self.stop_victim(now_us)
            if self.stopped and index == self.victim:
                continue
            if message is None and now_us != self.wake_us[index]:
                continue  # a timer that has been rescheduled
            self.step(index, message, now_us)
            if len(self.observers_of_death) == len(self.members) - 1:
                dead_at_all_us = now_us
        rate = self.sent_before_stop / len(self.members) / (STOP_US / 1e6)
        return Detection(rate, seconds_after_stop(self.first_suspect_us), seconds_after_stop(dead_at_all_us))

    def stop_victim(self, now_us):
        """Stop the victim if `STOP_US` has been reached."""
        if not self.stopped and now_us >= STOP_US:
            self.stopped = True
            self.sent_before_stop = sum(m.counts["sent"] for m in self.members)

    def step(self, index, message, now_us):
        """Deliver a message to a member, or run its timer, and schedule the messages that it sends."""
        member = self.members[index]
        sent = member.tick(now_us) if message is None else member.receive(message, now_us)
        for address, outgoing in sent:
            self.schedule(now_us + self.rng.randrange(1 * MS, 3 * MS), self.by_address[address], outgoing)
        self.observe(index, now_us)
        due_us = member.due_us()
        if due_us != self.wake_us[index]:
            self.wake_us[index] = due_us
            self.schedule(max(due_us, now_us), index, None)

    def schedule(self, time_us, index, message):
        """Schedule the arrival of a message, or a timer if the message is None."""
        self.scheduled += 1
        heapq.heappush(self.heap, (time_us, self.scheduled, index, message))

    def observe(self, index, now_us):
        """Record what the events of a member say about the victim."""
        victim_id = self.members[self.victim].id
        for event in self.members[index].events:
            if self.stopped and getattr(event, "id", None) == victim_id:
                if event.state == MemberState.SUSPECT and self.first_suspect_us is None:
                    self.first_suspect_us = now_us
                if event.state == MemberState.DEAD:
                    self.observers_of_death.add(index)
        self.members[index].events.clear()


def seconds_after_stop(time_us):
    """Return the seconds from the stop to a time in microseconds, or None for None."""
    return None if time_us is None else (time_us - STOP_US) / 1e6


def plot(rows, path):
    """Plot the messages that a member sends per second, and the detection times, against N."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [r[0] for r in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.plot(sizes, [r[1] for r in rows], marker="o")
    left.set(xscale="log", xlabel="members", ylabel="messages sent per member and second", ylim=(0, None))
    right.plot(sizes, [r[2] for r in rows], marker="o", label="first suspicion")
    right.plot(sizes, [r[3] for r in rows], marker="s", label="dead at all others")
    right.set(xscale="log", xlabel="members", ylabel="seconds after the stop", ylim=(0, None))
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main(sizes, path=None):
    """Print a row for each size; plot the rows if there is a path."""
    print("members  messages/member/s  first suspect s  dead at all s  wall s")
    rows = []
    for n in sizes:
        begin_s = time.monotonic()
        rows.append((n, *SimulatedNetwork(n, seed=1).run(MAX_US)))
        _, rate, suspect_s, dead_s = rows[-1]
        print(
            f"{n:7}  {rate:17.2f}  {suspect_s:15.2f}  {dead_s:13.2f}  {time.monotonic() - begin_s:6.1f}",
            flush=True,
        )
    if path:
        plot(rows, path)


if __name__ == "__main__":
    arguments = sys.argv[1:]
    main(
        [int(a) for a in arguments if a.isdigit()] or [100, 1000],
        next((a for a in arguments if not a.isdigit()), None),
    )
