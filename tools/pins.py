"""The pinned requirements of pyproject.toml for pip: `python3 tools/pins.py [--install] [EXTRA ...]`.

With `--install` they go into .venv, made if need be; nothing is done where they are there already.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def pins(extras):
    """The requirement lines of the project and of some extras."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    found = list(project["dependencies"])
    for extra in extras:
        found += project["optional-dependencies"][extra]
    return sorted(set(found))


def install(wanted):
    """Have them all in .venv."""
    mark = ROOT / ".venv" / "installed.txt"
    there = set(mark.read_text().split()) if mark.exists() else set()
    if set(wanted) <= there:
        return
    if not (ROOT / ".venv").exists():
        subprocess.run([sys.executable, "-m", "venv", ROOT / ".venv"], check=True)
    subprocess.run([ROOT / ".venv/bin/pip", "-q", "install", *wanted], check=True)
    # Danger: an older pin left in the mark would count as installed when a change is taken back.
    names = {pin.split("==")[0] for pin in wanted}
    others = {pin for pin in there if pin.split("==")[0] not in names}
    mark.write_text("\n".join(sorted(others | set(wanted))) + "\n")


def main(arguments):
    """Print or install."""
    wanted = pins([a for a in arguments if a != "--install"])
    if "--install" in arguments:
        install(wanted)
    else:
        print("\n".join(wanted))


if __name__ == "__main__":
    main(sys.argv[1:])
