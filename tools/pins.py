"""Build with the requirements pinned in pyproject.toml: `python3 tools/pins.py [--install] [EXTRA ...]`.

Without `--install`, the requirements are printed for pip. With it, those that are missing are installed in
.venv, which is made if need be, and the package is compiled for the interpreter of .venv.
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
    """Install what .venv does not have yet, by the record of earlier installations in it."""
    record = ROOT / ".venv" / "installed.txt"
    installed = set(record.read_text().split()) if record.exists() else set()
    if set(requirements) <= installed:
        return
    if not (ROOT / ".venv").exists():
        subprocess.run([sys.executable, "-m", "venv", ROOT / ".venv"], check=True)
    subprocess.run([ROOT / ".venv/bin/pip", "-q", "install", *requirements], check=True)
    # Danger: an older pin left in the record would count as installed when a change is taken back.
    names = {pin.split("==")[0] for pin in requirements}
    others = {pin for pin in installed if pin.split("==")[0] not in names}
    record.write_text("\n".join(sorted(others | set(requirements))) + "\n")


def compile_package():
    """Write the bytecode caches of pinspread, which no process writes under PYTHONDONTWRITEBYTECODE.

    An import checks them by the hash of the source. By its size and time in whole seconds, as is the default,
    a cache would still be run after a change within the second, or where a checkout has reset the time.
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
