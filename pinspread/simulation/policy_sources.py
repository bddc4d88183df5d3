"""Versions of the delivery policy as source text: where they come from, and what they define.

Nothing is imported or executed here; `variants` makes a process use a version.
"""

import ast
import hashlib
import subprocess
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

from pinspread.errors import PinspreadError

ROOT = Path(__file__).parents[2]
PACKAGE = "pinspread/policy"
LEGACY_NAMES = ("interface", "state", "decide")  # the policy's modules before it became a package
INTERFACE_NAMES = ("events", "actions", "settings")  # modules of the package whose classes the model uses
RUNNABLE_VERSIONS = (
    f"versions that can be run have a folder {PACKAGE} with the current fields (since revision 5dd2b39),"
    " or predate that folder (revision 2404508)"
)

# Source texts of a version by module name.
PolicySources = Mapping[str, str]

# Keys of experiment files for those settings of the policy whose field has another name.
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

# Former names of the policy's constants, which experiment files may still use as keys, each with the name
# that replaced it. A replacement may itself be a former name: `constant_aliases` follows the chain.
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
    "EXHAUSTED": "EXHAUSTED_FROM",
    "EXHAUSTED_CUT": "EXHAUSTED_RATE_FACTOR",
    "FEW": "SMALL_FLEET_SIZE",
    "FEW_ERRORS": "FEW_HARD_FAILURES",
    "FEW_HARD_FAILURES": "MIN_OUTAGE_FAILURES",
    "GONE_KEPT_NS": "REMOVED_KEPT_NS",
    "HOLD_SPARE": "SPARE_PLACES",
    "LATELY_NS": "RECENT_SUCCESS_NS",
    "LEAST_PRIORITY": "MIN_PRIORITY",
    "LEAST_RAMP_RATE": "MIN_RAMP_RATE",
    "LEAST_RATE": "MIN_RATE",
    "LEAST_TIMEOUT_NS": "MIN_TIMEOUT_NS",
    "LEAST_WORTH": "LEAST_PRIORITY",
    "LET_GO": "CLOSE_PROBABILITY",
    "LITTLE_LEFT": "LOW_REMAINING",
    "LONG_TOLD_NS": "LONG_RETRY_AFTER_NS",
    "LOOKS": "HEALTH_CHECK_SHARE",
    "LOST": "LOST_SHARE",
    "MOOT_STEP": "NOT_SENT_STEP",
    "MOST_STRETCH": "MOST_TIMEOUT_FACTOR",
    "MOST_TIMEOUT_FACTOR": "MAX_TIMEOUT_FACTOR",
    "MOST_TIMEOUT_NS": "MAX_TIMEOUT_NS",
    "NOT_SENT_STEP": "NOT_SENT_BACKOFF_STEP",
    "OWED_WAIT": "RECOVERED_WAIT",
    "PACE_GAIN": "RATE_GAIN",
    "PAUSES_KEPT": "PAUSE_CLEANUP_THRESHOLD",
    "RESTS_KEPT": "PAUSES_KEPT",
    "ROOMY": "SATURATED_TO",
    "ROUTE_SPREAD": "RANDOM_COST_SPREAD",
    "SHORT_OUTAGE": "SHORT_OUTAGE_FRACTION",
    "SHUT_AFTER": "UNAVAILABLE_REFUSALS",
    "SHUT_SPAN_NS": "UNAVAILABLE_SPAN_NS",
    "SPARE_PLACES": "RESERVED_QUEUE_SHARE",
    "TIMEOUT_SPREAD": "TIMEOUT_DEVIATIONS",
    "UNSAFE_STRETCH": "UNSAFE_FACTOR",
    "USED_UP_PACE": "EXHAUSTED_CUT",
}


class VariantError(PinspreadError, ValueError):
    """A version of the policy cannot be read or run; the text says why."""


def read_sources(folder: str = "", revision: str = "") -> dict[str, str]:
    """Return a version's source texts by module name.

    Args:
        folder: A folder with the modules of a policy.
        revision: A git revision of this checkout; if both are empty, the files of the checkout are read.

    Raises:
        VariantError: The version does not exist, or the model cannot run it.
    """
    if revision:
        sources = _sources_of_revision(revision)
        location = f"revision {revision!r}"
    else:
        path = Path(folder) if folder else ROOT / PACKAGE
        sources = {file.stem: file.read_text() for file in sorted(path.glob("*.py"))}
        location = str(path)
    if "delivery_policy" not in sources and "decide" not in sources:
        raise VariantError(f"{location}: holds no delivery_policy.py")
    if folder or revision:
        _check_interface(location, sources)
    return sources


def is_legacy(sources: PolicySources) -> bool:
    """Return whether a version is from before the policy was a package."""
    return "decide" in sources


def _sources_of_revision(revision: str) -> dict[str, str]:
    listed = _git(revision, "ls-tree", "--name-only", revision, f"{PACKAGE}/").split()
    names = listed or [f"pinspread/{name}.py" for name in LEGACY_NAMES]
    return {
        Path(name).stem: _git(revision, "show", f"{revision}:{name}")
        for name in names
        if name.endswith(".py")
    }


def _git(revision: str, *arguments: str) -> str:
    """Return what git prints; the revision is only for the text of a `VariantError`."""
    completed = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise VariantError(f"revision {revision!r}: {completed.stderr.strip().splitlines()[-1]}")
    return completed.stdout


def _check_interface(location: str, sources: PolicySources) -> None:
    """Reject a version whose events, actions and settings are not those that the model uses.

    Raises:
        VariantError: A module, a class or a field is missing, or a module has a syntax error.
    """
    required = LEGACY_NAMES if is_legacy(sources) else INTERFACE_NAMES
    for name in required:
        if name not in sources:
            raise VariantError(f"{location}: holds no {name}.py; {RUNNABLE_VERSIONS}")
    try:
        trees = {name: ast.parse(text) for name, text in sources.items()}
    except SyntaxError as error:
        raise VariantError(f"{location}: {error}") from None
    if is_legacy(sources):
        return
    for name in INTERFACE_NAMES:
        current_classes = _class_fields(ast.parse((ROOT / PACKAGE / f"{name}.py").read_text()))
        version_classes = _class_fields(trees[name])
        for class_name, fields in current_classes.items():
            if class_name not in version_classes:
                raise VariantError(f"{location}: {name}.py has no class {class_name}; {RUNNABLE_VERSIONS}")
            if missing := fields - version_classes[class_name]:
                raise VariantError(
                    f"{location}: {class_name} in {name}.py has no {min(missing)}; {RUNNABLE_VERSIONS}"
                )


def _class_fields(tree: ast.Module) -> dict[str, set[str]]:
    """Return the fields of dataclasses and the members of enums, by class name."""
    classes = [node for node in tree.body if isinstance(node, ast.ClassDef)]
    return {node.name: set(_assigned_names(node.body)) | _annotated_names(node.body) for node in classes}


def _annotated_names(body: Iterable[ast.stmt]) -> set[str]:
    targets = [node.target for node in body if isinstance(node, ast.AnnAssign)]
    return {target.id for target in targets if isinstance(target, ast.Name)}


def _assigned_names(body: Iterable[ast.stmt]) -> list[str]:
    targets = [target for node in body if isinstance(node, ast.Assign) for target in node.targets]
    return [target.id for target in targets if isinstance(target, ast.Name)]


def source_digest(sources: PolicySources) -> str:
    """Return a short hash of a version's texts: 16 hexadecimal digits."""
    digest = hashlib.sha256()
    for name in sorted(sources):
        digest.update(sources[name].encode())
    return digest.hexdigest()[:16]


def constant_aliases(key: str) -> Iterator[str]:
    """Yield a key of an experiment file and then the names that replaced it, the current one last."""
    yield key
    while key in CONSTANT_KEYS:
        key = CONSTANT_KEYS[key]
        yield key


def constant_names(sources: PolicySources) -> set[str]:
    """Return the constants that a version's modules define, and their former names in `CONSTANT_KEYS`."""
    assigned = [name for text in sources.values() for name in _assigned_names(ast.parse(text).body)]
    names = {name for name in assigned if name.isupper() and not name.startswith("_")}
    return names | {key for key in CONSTANT_KEYS if not names.isdisjoint(constant_aliases(key))}


def setting_names(sources: PolicySources) -> set[str]:
    """Return the fields of a version's Settings, and the keys of experiment files that stand for them."""
    tree = ast.parse(sources.get("settings") or sources["interface"])
    bodies = [node.body for node in tree.body if isinstance(node, ast.ClassDef) and node.name == "Settings"]
    fields = {name for body in bodies for name in _annotated_names(body)}
    return fields | {key for key, field in SETTINGS_KEYS.items() if field in fields}
