"""Variants: the decision module as it stands, with other figures, or of another version.

Another version runs in processes of its own, in which its text takes the place of `pinspread.decide` and its
fellows before anything else is loaded; so this module must not import them at its top.
"""

import ast
import hashlib
import importlib
import subprocess
import sys
from pathlib import Path
from types import ModuleType

NAMES = ("interface", "state", "decide")  # in the order in which they need each other
USERS = ("simulate", "courier", "partner", "rules", "accounts")  # parts of the model that hold the module
ROOT = Path(__file__).parents[2]


class VariantError(ValueError):
    """A version of the module that cannot be had; the text says why."""


def texts(path="", revision="") -> dict:
    """The module's texts by name: from a folder, a git revision, or (both empty) this checkout."""
    found = {}
    for name in NAMES:
        if revision:
            call = ["git", "-C", str(ROOT), "show", f"{revision}:pinspread/{name}.py"]
            done = subprocess.run(call, capture_output=True, text=True)
            if done.returncode:
                raise VariantError(f"revision {revision!r}: {done.stderr.strip().splitlines()[-1]}")
            found[name] = done.stdout
            continue
        place = (Path(path) if path else ROOT / "pinspread") / f"{name}.py"
        try:
            found[name] = place.read_text()
        except OSError as error:
            raise VariantError(f"{place}: {error.strerror}") from None
    return found


def digest(found: dict) -> str:
    """A short hash of a version's texts."""
    whole = hashlib.sha256()
    for name in NAMES:
        whole.update(found[name].encode())
    return whole.hexdigest()[:16]


def install(found: dict | None):
    """Have this process use a version's texts; only before the module has been loaded."""
    if found is None:
        return
    import pinspread

    # The package itself loads today's version; nothing else that uses it may have been loaded yet.
    loaded = [name for name in USERS if f"pinspread.fleet.{name}" in sys.modules]
    if loaded:
        raise VariantError(f"pinspread.fleet.{loaded[0]} is loaded already")
    for name in NAMES:
        module = ModuleType(f"pinspread.{name}")
        module.__file__ = f"<variant>/{name}.py"
        sys.modules[module.__name__] = module
        setattr(pinspread, name, module)
        exec(compile(found[name], module.__file__, "exec"), module.__dict__)


def constants_of(found: dict) -> set:
    """The constants that a version's decide.py sets."""
    targets = [
        t for node in ast.parse(found["decide"]).body if type(node) is ast.Assign for t in node.targets
    ]
    return {t.id for t in targets if type(t) is ast.Name and t.id.isupper()}


def settings_of(found: dict) -> set:
    """The fields of a version's interface.Settings."""
    classes = [
        n for n in ast.parse(found["interface"]).body if type(n) is ast.ClassDef and n.name == "Settings"
    ]
    return {node.target.id for one in classes for node in one.body if type(node) is ast.AnnAssign}


class Constants:
    """For the length of a `with`, the module's constants have a variant's values."""

    def __init__(self, values: dict):
        self.values = values
        self.old = {}

    def __enter__(self):
        module = importlib.import_module("pinspread.decide")
        for name, value in self.values.items():
            self.old[name] = getattr(module, name)
            setattr(module, name, tuple(value) if isinstance(value, list) else value)

    def __exit__(self, *_):
        module = importlib.import_module("pinspread.decide")
        for name, value in self.old.items():
            setattr(module, name, value)
