"""Gate by seed and day, out of the bench's journal: `gates.py JOURNAL [SITE]` prints a Markdown table for each commit.

A cell is the day's score, or the rule or fault that it broke. Days that a floor failed stand in the last column, with
what the bench said; a run that was ended before its last day is left out.
"""

import json
import sys
from pathlib import Path

RULES = {"dup": "duplicate", "failback": "cold"}


def runs(folder, site):
    """(commit, panel, seed) -> the entry, for every finished score of a site; the newest where there are several."""
    found = {}
    for path in sorted(Path(folder).glob("*.json")):
        entry = json.loads(path.read_bytes())
        if entry.get("cmd") != "real-score" or entry.get("site") != site or not entry.get("days"):
            continue
        words = entry["argv"]
        panel = words[words.index("--panel") + 1] if "--panel" in words else "mass"
        panel += " quick" if "--quick" in words else ""
        seed = words[words.index("--seed") + 1] if "--seed" in words else "1"
        found.setdefault((entry["head"][:7], panel), {})[seed] = entry
    return found


def cell(day):
    """What a day came to."""
    broken = [RULES.get(rule, rule) for rule, n in (day.get("rules") or {}).items() if n]
    if day.get("fault"):
        return "**fault**"
    if broken:
        return "**" + ", ".join(broken) + "**"
    return f"{day['score']:.2f}"


def table(by_seed):
    """Lines of a table: a row a seed, a column a day."""
    names = [day["name"] for day in next(iter(by_seed.values()))["days"]]
    yield (
        "| seed | " + " | ".join(n.replace("+mass-", " ").replace("+brink", "") for n in names) + " | gate |"
    )
    yield "| --- |" + " --- |" * (len(names) + 1)
    for seed, entry in sorted(by_seed.items(), key=lambda pair: int(pair[0])):
        gate = next((line for line in entry["digest"].splitlines() if line.startswith("GATE")), "none said")
        cells = [cell(day) for day in entry["days"]]
        yield f"| {seed} | " + " | ".join(cells) + f" | {gate.removeprefix('GATE ')} |"


if __name__ == "__main__":
    for (head, panel), by_seed in runs(
        sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "addis-office"
    ).items():
        print(f"\n{panel} at {head}\n")
        print(*table(by_seed), sep="\n")
