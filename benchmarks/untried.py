"""What restarts found taken on and untried, and what became of it, from a day's logs: `untried.py LOGS`.

A message counts where it was taken on before a start, had no branch in the log by then, over half of its time was
left, and its first branch afterwards, if any, is number 0. One that was out at a kill leaves no line and counts as
untried where no branch follows, so what is shown given up is an upper bound: up to the slots of each courier.
"""

import sys
from collections import Counter, defaultdict

from pinspread.simulation.losses import read_events


def account(folder):
    """Counter of fates, and seconds from the start to the end for what was given up early with no call."""
    fates, early = Counter(), []
    for rows in by_courier(folder).values():
        open_, found, starts = {}, {}, 0
        for event in rows:
            kind, id_, at_us = event["event"], event.get("id"), event.get("at_us", 0)
            if kind == "recovered":
                starts += 1
                for number, (until_us, tried, taken_us) in open_.items():
                    if not tried and (until_us - at_us) * 2 >= until_us - taken_us and number not in found:
                        found[number] = (until_us, at_us)
            elif kind == "taken":
                open_[id_] = (at_us + event["for_ms"] * 1000, False, at_us)
            elif kind == "branch" and id_ in open_:
                until_us, tried, taken_us = open_[id_]
                open_[id_] = (until_us, True, taken_us)
                if id_ in found:
                    del found[id_]
                    fates["tried" if event["n"] == 0 else "was out at the kill"] += 1
            elif kind == "final" and open_.pop(id_, None) and id_ in found:
                until_us, start_us = found.pop(id_)
                if at_us < until_us - 50_000:
                    fates["given up early, no call: " + event["state"]] += 1
                    early.append((at_us - start_us) / 1e6)
                else:
                    fates["time over, no call"] += 1
        fates["open at the end"] += len(found)
    return fates, early


def by_courier(folder):
    """courier -> its events, in order of time."""
    rows = defaultdict(list)
    for courier, event in read_events(folder):
        rows[courier].append(event)
    return rows


if __name__ == "__main__":
    fates, early = account(sys.argv[1])
    for fate, n in fates.most_common():
        print(f"{n:>7}  {n / max(1, sum(fates.values())):6.1%}  {fate}")
    early.sort()
    if early:
        print(f"given up after its start, s: median {early[len(early) // 2]:.2f}, last {early[-1]:.2f}")
