"""The form of the platform's configuration file, and what makes such a file complete.

A file is checked twice. `convert` compares it with the types below, which say what every file must have, and
of which type. `find_gaps` compares it with the one that it replaces: what that one has, outside lists, must
still be there and of the same kind, even if the program has a default for it or does not read it. In both, a
key whose value is null counts as missing.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from msgspec import Meta

KeyKinds = Mapping[
    str, str
]  # the kind of value (`KINDS`) of each key, by its path; without the contents of lists

KINDS: dict[type, str] = {
    dict: "an object",
    list: "a list",
    str: "text",
    bool: "true or false",
    int: "a number",
    float: "a number",
}
MISSING = "missing"

# msgspec's error for a missing key, which it names apart from the path of its object.
_MISSING_KEY = re.compile(r"^Object missing required field `(?P<key>\w+)`(?: - at `\$\.(?P<object>.*)`)?$")

Text = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
NotNegativeInt = Annotated[int, Meta(ge=0)]


class ResourceLimits(TypedDict):
    """What the process may use."""

    disk_mb: Positive
    sockets: NotRequired[PositiveInt]
    memory_mb: NotRequired[Positive]


class CachedList(TypedDict):
    """The endpoint list as the node last had it; discovery checks the entries one by one."""

    seq: NotNegativeInt
    whole: bool
    hosts: list[Any]


class MessageClass(TypedDict):
    """A class of message."""

    name: str
    effect: str
    aimNs: PositiveInt
    deadlineNs: PositiveInt
    lateShare: float
    value: float
    group: NotRequired[str]
    windowNs: NotRequired[int]
    serialByKey: NotRequired[bool]


class Project(TypedDict):
    """A tenant."""

    name: str
    quotaRps: NotNegative
    share: NotNegative


class PolicyLimits(TypedDict):
    """What the deployment permits."""

    dialTimeoutNs: PositiveInt
    keepaliveNs: NotNegativeInt
    mostHeld: PositiveInt
    sendCap: PositiveInt
    maxRetryAfterNs: NotRequired[NotNegativeInt]
    mayCancel: NotRequired[bool]
    multiplex: NotRequired[PositiveInt]
    probes: NotRequired[bool]
    retryAfter: NotRequired[bool]


class Prices(TypedDict):
    """Costs, in units of a message's mean worth."""

    handshake: NotRequired[float]
    crossZone: NotRequired[float]


class Report(TypedDict):
    """The load reports in answers."""

    fields: NotRequired[list[str]]


class Rules(TypedDict):
    """The figures of the rules."""

    coldFrom: Positive
    coldNs: NotNegativeInt
    drainGraceNs: NotNegativeInt
    tipMultiple: Positive
    mustAskInNs: NotRequired[NotNegativeInt]
    orderPauseNs: NotRequired[NotNegativeInt]


class Specifics(TypedDict):
    """Facts about this kind of service."""

    bundleMax: list[PositiveInt]
    callsOut: PositiveInt
    kindApart: list[bool]
    late: NotRequired[str]
    zoneFee: NotRequired[list[float]]


class DeploymentSettings(TypedDict):
    """The object `settings`."""

    lanes: Annotated[list[MessageClass], Meta(min_length=1)]
    policyLimits: PolicyLimits
    rules: Rules
    shapes: Annotated[list[str], Meta(min_length=1)]
    specifics: Specifics
    zones: list[str]
    az: NotRequired[NotNegativeInt]
    balancers: NotRequired[PositiveInt]
    membershipMode: NotRequired[str]
    overShareWorth: NotRequired[float]
    prices: NotRequired[Prices]
    projects: NotRequired[list[Project]]  # a deployment may have no tenants
    report: NotRequired[Report]
    weights: NotRequired[str]


class Document(TypedDict):
    """The whole file. What may be missing comes from environment variables, or is off (`admin_addr`)."""

    limits: ResourceLimits
    known: CachedList
    seed: Text
    settings: DeploymentSettings
    name: NotRequired[str]
    listen: NotRequired[str]
    discovery: NotRequired[str]
    state: NotRequired[str]
    admin_addr: NotRequired[str]


def convert(document: object) -> Document:
    """Check a file's JSON value without its null values; return what `Document` names of it.

    Raises:
        ValueError: A key is missing, or has a value of another type or out of range; the text names its path.
    """
    try:
        return msgspec.convert(document, Document)
    except msgspec.ValidationError as error:
        raise ValueError(_MISSING_KEY.sub(_describe_missing, str(error))) from None


def _describe_missing(found: re.Match[str]) -> str:
    path = f"{found['object']}.{found['key']}" if found["object"] else found["key"]
    return f"{path} is {MISSING}"


def without_nulls(value: object) -> Any:
    """Return a JSON value without the keys of objects whose value is null."""
    if isinstance(value, dict):
        return {name: without_nulls(inner) for name, inner in value.items() if inner is not None}
    if isinstance(value, list):
        return [without_nulls(item) for item in value]
    return value


def key_kinds(document: Mapping[str, Any], path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the path and the kind of each key's value, which is not null; a list is one value."""
    for name, value in document.items():
        yield path + name, KINDS[type(value)]
        if isinstance(value, dict):
            yield from key_kinds(value, f"{path}{name}.")


def find_gaps(new: KeyKinds, old: KeyKinds) -> list[str]:
    """Return what a new document lacks of an old one, as texts that name the key's path, sorted by it."""
    differing = [path for path in sorted(old) if new.get(path) != old[path]]
    return [f"{path} is {new.get(path, MISSING)}, expected {old[path]}" for path in differing]
