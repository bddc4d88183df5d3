"""Build with the requirements pinned in pyproject.toml: `python3 tools/pins.py [--install] [EXTRA ...]`.

Without `--install`, the requirements are printed for pip. With it, they are installed in .venv, which is
created if it is missing, and the package is compiled for the interpreter of .venv.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def pinned_requirements(extras):
    """The requirement lines of the project and of some extras."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    requirements = list(project["dependencies"])
    for extra in extras:
        requirements += project["optional-dependencies"][extra]
    return sorted(set(requirements))


def install(requirements):
    """Install the requirements in .venv, unless its record of earlier installations has all of them."""
    record = ROOT / ".venv" / "installed.txt"
    installed = set(record.read_text().split()) if record.exists() else set()
    if set(requirements) <= installed:
        return
    if not (ROOT / ".venv").exists():
        subprocess.run([sys.executable, "-m", "venv", ROOT / ".venv"], check=True)
    subprocess.run([ROOT / ".venv/bin/pip", "-q", "install", *requirements], check=True)
    # The record drops older pins: one that stayed would count as installed when a change is reverted.
    names = {pin.split("==")[0] for pin in requirements}
    others = {pin for pin in installed if pin.split("==")[0] not in names}
    record.write_text("\n".join(sorted(others | set(requirements))) + "\n")


def compile_package():
    """Write the bytecode caches of pinspread, which no process writes under PYTHONDONTWRITEBYTECODE.

    An import compares them with the source by its hash. By default it compares the size and the time in whole
    seconds, which would accept a stale cache after a change within the same second, or after a checkout that
    has reset the time.
    """
    command = [ROOT / ".venv/bin/python", "-m", "compileall", "-q", "--invalidation-mode", "checked-hash"]
    subprocess.run([*command, ROOT / "pinspread"], check=True)


def main(arguments):
    """Print the requirements, or install them and compile the package."""
    requirements = pinned_requirements([a for a in arguments if a != "--install"])
    if "--install" in arguments:
        install(requirements)
        compile_package()
    else:
        print("\n".join(requirements))


if __name__ == "__main__":
    main(sys.argv[1:])
