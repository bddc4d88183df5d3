"""Scores by seed and day from the bench's journal: `gates.py JOURNAL [SITE]` prints a Markdown table for each commit.

A cell holds the day's score, a fault, or the rules that were broken. The last column holds the bench's verdict, with the
days that failed a floor. Runs that were stopped before their last day are left out.
"""

import json
import sys
from pathlib import Path

RULES = {"dup": "duplicate", "failback": "cold"}


def read_scores(folder, site):
    """Return the finished scores of a site: (commit, panel) -> seed -> entry; of several entries the newest."""
    entries = {}
    for path in sorted(Path(folder).glob("*.json")):
        entry = json.loads(path.read_bytes())
        if entry.get("cmd") != "real-score" or entry.get("site") != site or not entry.get("days"):
            continue
        arguments = entry["argv"]
        panel = arguments[arguments.index("--panel") + 1] if "--panel" in arguments else "mass"
        panel += " quick" if "--quick" in arguments else ""
        seed = arguments[arguments.index("--seed") + 1] if "--seed" in arguments else "1"
        entries.setdefault((entry["head"][:7], panel), {})[seed] = entry
    return entries


def format_day(day):
    """Format the result of a day."""
    broken = [RULES.get(rule, rule) for rule, n in (day.get("rules") or {}).items() if n]
    if day.get("fault"):
        return "**fault**"
    if broken:
        return "**" + ", ".join(broken) + "**"
    return f"{day['score']:.2f}"


def format_table(by_seed):
    """Yield the lines of a table with a row for each seed and a column for each day."""
    names = [day["name"] for day in next(iter(by_seed.values()))["days"]]
    yield (
        "| seed | " + " | ".join(n.replace("+mass-", " ").replace("+brink", "") for n in names) + " | gate |"
    )
    yield "| --- |" + " --- |" * (len(names) + 1)
    for seed, entry in sorted(by_seed.items(), key=lambda pair: int(pair[0])):
        gate = next((line for line in entry["digest"].splitlines() if line.startswith("GATE")), "none said")
        cells = [format_day(day) for day in entry["days"]]
        yield f"| {seed} | " + " | ".join(cells) + f" | {gate.removeprefix('GATE ')} |"


if __name__ == "__main__":
    for (head, panel), by_seed in read_scores(
        sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "addis-office"
    ).items():
        print(f"\n{panel} at {head}\n")
        print(*format_table(by_seed), sep="\n")
