"""Variants: the delivery policy as it stands, with other constants, or of another version.

Another version runs in processes of its own, in which its text takes the place of `pinspread.policy` before the
model is loaded; so this module must not import the policy or the model at its top.
"""

import ast
import hashlib
import importlib
import importlib.abc
import importlib.util
import subprocess
import sys
from pathlib import Path

# Parts of the model that hold classes of the policy once they are loaded.
USERS = ("simulate", "instance", "destination", "rules", "metrics")
ROOT = Path(__file__).parents[2]
PACKAGE = "pinspread/policy"
LEGACY_NAMES = ("interface", "state", "decide")  # the policy's modules before it became a package


# What an experiment's file calls settings of the policy, where the policy's own word differs.
SETTINGS_KEYS = {
    "calls_out": "max_concurrent_calls",
    "most_held": "max_held_messages",
    "over_share_worth": "over_quota_weight",
    "halves": "value_halves",
    "may_probe": "health_checks_allowed",
    "may_cancel": "cancellation_allowed",
    "may_tell_wait": "retry_after_allowed",
    "max_come_back_ns": "max_retry_after_ns",
    "cold_from": "slow_start_fraction",
    "cold_ns": "slow_start_ns",
    "tip_multiple": "overload_multiple",
    "order_pause_ns": "ordering_pause_ns",
    "list_on_request": "polled_discovery",
    "must_ask_in_ns": "max_poll_interval_ns",
    "crossing_price": "cross_zone_price",
}


# What an experiment's file calls constants of the policy, where the policy's own word differs.
CONSTANT_KEYS = {
    "ASK_AGAIN": "POLL_BACKOFF",
    "ASK_SPREAD": "FIRST_POLL_SPREAD",
    "BASE_SPAN_S": "USUAL_RATE_SPAN_S",
    "CAUTION": "SUSPECT_FROM",
    "CLUMP_SHARE": "BURST_POWER",
    "CREEP": "LEAST_RAMP_RATE",
    "CROWDED": "SATURATED_FROM",
    "CROWDED_STRETCH": "UNSAFE_CROWDED_FACTOR",
    "CROWD_GAIN": "REFUSAL_GAIN",
    "CUT": "CUT_POWER",
    "DOUBT": "EJECTED_FROM",
    "DOUBT_WEIGHT": "FAILURE_WEIGHT",
    "DRAINED": "EXHAUSTED",
    "FEW_ERRORS": "FEW_HARD_FAILURES",
    "GONE_KEPT_NS": "REMOVED_KEPT_NS",
    "HOLD_SPARE": "SPARE_PLACES",
    "LATELY_NS": "RECENT_SUCCESS_NS",
    "LEAST_WORTH": "LEAST_PRIORITY",
    "LONG_TOLD_NS": "LONG_RETRY_AFTER_NS",
    "LOOKS": "HEALTH_CHECK_SHARE",
    "LOST": "LOST_SHARE",
    "MOOT_STEP": "NOT_SENT_STEP",
    "MOST_STRETCH": "MOST_TIMEOUT_FACTOR",
    "OWED_WAIT": "RECOVERED_WAIT",
    "PACE_GAIN": "RATE_GAIN",
    "RESTS_KEPT": "PAUSES_KEPT",
    "ROOMY": "SATURATED_TO",
    "TIMEOUT_SPREAD": "TIMEOUT_DEVIATIONS",
    "UNSAFE_STRETCH": "UNSAFE_FACTOR",
    "USED_UP_PACE": "EXHAUSTED_CUT",
}


class VariantError(ValueError):
    """A version of the policy that cannot be had; the text says why."""


def read_sources(path="", revision="") -> dict:
    """The policy's texts by module name: from a folder, a git revision, or (both empty) this checkout."""
    if revision:
        return _texts_of_revision(revision)
    folder = Path(path) if path else ROOT / PACKAGE
    found = {file.stem: file.read_text() for file in sorted(folder.glob("*.py"))}
    if "delivery_policy" not in found and "decide" not in found:
        raise VariantError(f"{folder}: holds no delivery_policy.py")
    return found


def _texts_of_revision(revision):
    listed = _git(revision, "ls-tree", "--name-only", revision, f"{PACKAGE}/").split()
    names = listed or [f"pinspread/{name}.py" for name in LEGACY_NAMES]
    return {
        Path(name).stem: _git(revision, "show", f"{revision}:{name}")
        for name in names
        if name.endswith(".py")
    }


def _git(revision, *arguments):
    done = subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, text=True)
    if done.returncode:
        raise VariantError(f"revision {revision!r}: {done.stderr.strip().splitlines()[-1]}")
    return done.stdout


def source_digest(found: dict) -> str:
    """A short hash of a version's texts."""
    whole = hashlib.sha256()
    for name in sorted(found):
        whole.update(found[name].encode())
    return whole.hexdigest()[:16]


class _TextFinder(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports the modules of `pinspread.policy` from a version's texts."""

    def __init__(self, found):
        self.found = found

    def find_spec(self, fullname, path=None, target=None):
        package, _, name = fullname.rpartition(".")
        if fullname == "pinspread.policy":
            return importlib.util.spec_from_loader(fullname, self, is_package=True)
        if package == "pinspread.policy" and name in self.found:
            return importlib.util.spec_from_loader(fullname, self)
        return None

    def is_package(self, fullname):
        return fullname == "pinspread.policy"

    def get_source(self, fullname):
        return self.found.get("__init__" if self.is_package(fullname) else fullname.rpartition(".")[2], "")


def install_sources(found: dict | None):
    """Have this process use a version's texts; only before the model has been loaded."""
    if found is None:
        return
    loaded = [name for name in USERS if f"pinspread.simulation.{name}" in sys.modules]
    if loaded:
        raise VariantError(f"pinspread.simulation.{loaded[0]} is loaded already")
    if "decide" in found:
        importlib.import_module("pinspread.simulation.legacy_policy").install(found)
        return
    # The package itself has loaded today's version; nothing else that uses it has been loaded yet.
    for name in [name for name in sys.modules if name.startswith("pinspread.policy")]:
        del sys.modules[name]
    sys.meta_path.insert(0, _TextFinder(found))


def constant_names(found: dict) -> set:
    """The constants that a version's modules set, by their own words and those of experiments' files."""
    trees = [ast.parse(text) for text in found.values()]
    targets = [t for tree in trees for node in tree.body if type(node) is ast.Assign for t in node.targets]
    names = {t.id for t in targets if type(t) is ast.Name and t.id.isupper() and not t.id.startswith("_")}
    return names | {key for key, name in CONSTANT_KEYS.items() if name in names}


def setting_names(found: dict) -> set:
    """The fields of a version's Settings."""
    tree = ast.parse(found.get("settings") or found["interface"])
    classes = [n for n in tree.body if type(n) is ast.ClassDef and n.name == "Settings"]
    fields = {node.target.id for one in classes for node in one.body if type(node) is ast.AnnAssign}
    return fields | {key for key, field in SETTINGS_KEYS.items() if field in fields}


class ConstantOverrides:
    """For the length of a `with`, the policy's constants have a variant's values."""

    def __init__(self, values: dict):
        self.values = values
        self.old = []

    def __enter__(self):
        importlib.import_module("pinspread.policy.delivery_policy")  # and with it all of its parts
        modules = [module for name, module in sys.modules.items() if name.startswith("pinspread.policy.")]
        for key, value in self.values.items():
            name = key if any(hasattr(module, key) for module in modules) else CONSTANT_KEYS[key]
            # A module that imports a constant has a name of its own for it.
            for module in [module for module in modules if hasattr(module, name)]:
                self.old.append((module, name, getattr(module, name)))
                setattr(module, name, tuple(value) if isinstance(value, list) else value)

    def __exit__(self, *_):
        for module, name, value in self.old:
            setattr(module, name, value)
