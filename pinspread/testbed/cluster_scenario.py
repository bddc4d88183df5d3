"""Scenarios of a cluster's test, as TOML files and as typed objects.

A scenario file:

    members = 5                 # m0 .. m4
    late = ["m4"]               # not started until a fault `start` says so
    seconds = 20
    seed = 1
    service = ""                # members find their seeds by this DNS-SD service instead of a list
    [tuning]                    # goes into every courier's [members] table
    period_s = 0.2
    [leases]                    # optional: settings of every courier's [leases] table, and
    voters = 3                  #   how many members, from the first, vote
    tasks = ["sweep"]           #   tasks that are leased; a holder acts on the resource every act_s
    act_s = 0.1
    [copies]                    # optional: settings of every courier's [copies] table
    [traffic]                   # optional: clients, a destination and the platform (TrafficScenario)
    [[at]]                      # a scheduled fault; `who` also takes "@leader" and "@holder:TASK"
    s = 4
    do = "pause"                # one of FaultKind
    who = ["m3"]
    [[expect]]                  # what the history is checked for, see history_checker.py
    kind = "never_dead"
"""

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from os import PathLike
from typing import Any, Self

from pinspread.errors import PinspreadError

MAX_MEMBERS = 60
MAX_SECONDS = 3600
DEFAULT_FLEET = "stage"
GOSSIP_PORT = 7946


class ScenarioError(PinspreadError):
    """A scenario cannot be decoded or played; the message says why."""


class FaultKind(StrEnum):
    """The kinds of faults (key `do`)."""

    PAUSE = "pause"
    RESUME = "resume"
    KILL = "kill"
    TERMINATE = "term"
    WIPE = "wipe"
    FLIP = "flip"
    START = "start"
    OFFSET = "offset"
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATE = "duplicate"
    CUT = "cut"
    SPLIT = "split"
    HEAL = "heal"
    GARBAGE = "garbage"
    STRANGER = "stranger"


@dataclass(frozen=True)
class FaultEvent:
    """A scheduled fault.

    Attributes:
        table: The fault as the scenario has it, for the history.
        kind: What it does.
        at_s: When it is caused, in seconds after the members that start at once serve.
        who: The members that it affects; all if empty.
        sources: Members whose datagrams and streams are affected; all if empty.
        targets: Members to which they are sent; all if empty.
        groups: The groups of a split.
        share: Share of datagrams that a loss drops or a duplication sends twice.
        delay_s: How long a delay holds datagrams and streams.
        jitter_s: Maximum of the random time added to `delay_s`.
        file: Pattern of the file in the state folder that a flip damages.
        offset_ms: Offset of a member's clock from its next start on.
        clock_rate: Rate of that clock; 1 is right.
        seed: Seed of the random bytes of garbage.
        count: How many datagrams of garbage or of a stranger are sent to each member.
        port: The member's port to which they are sent.
    """

    table: Mapping[str, Any]
    kind: FaultKind
    at_s: float = 0.0
    who: Sequence[str] = ()
    sources: Sequence[str] = ()
    targets: Sequence[str] = ()
    groups: Sequence[Sequence[str]] = ()
    share: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    file: str = "journal"
    offset_ms: int = 0
    clock_rate: float = 1.0
    seed: int = 7
    count: int = 20
    port: int = GOSSIP_PORT

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Decode a fault; only `do` is required, and unknown keys are ignored.

        Raises:
            ScenarioError: The kind of fault (`do`) is unknown.
        """
        fields = {FAULT_KEYS[key]: value for key, value in table.items() if key in FAULT_KEYS}
        try:
            kind = FaultKind(table.get("do", ""))
        except ValueError:
            raise ScenarioError(
                f"unknown fault {table.get('do', '')!r}: expected one of {', '.join(FaultKind)}"
            ) from None
        return cls(table=dict(table), kind=kind, **fields)


# The keys of a fault in a scenario, besides `do`, and the fields of FaultEvent that hold their values.
FAULT_KEYS = {
    "s": "at_s",
    "who": "who",
    "from": "sources",
    "to": "targets",
    "groups": "groups",
    "share": "share",
    "delay_s": "delay_s",
    "jitter_s": "jitter_s",
    "file": "file",
    "ms": "offset_ms",
    "rate": "clock_rate",
    "seed": "seed",
    "count": "count",
    "port": "port",
}


@dataclass(frozen=True)
class LeaseScenario:
    """Leases of a scenario.

    Attributes:
        voters: How many members, from the first, are voters.
        tasks: The tasks that are leased.
        act_s: Interval at which a holder acts on its task.
        settings: Further settings of each courier's `[leases]` table.
    """

    voters: int = 3
    tasks: Sequence[str] = ()
    act_s: float = 0.1
    settings: Mapping[str, Any] = field(default_factory=dict)

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Decode the table `leases`."""
        own = {key: table[key] for key in ("voters", "tasks", "act_s") if key in table}
        return cls(**own, settings={key: value for key, value in table.items() if key not in own})


@dataclass(frozen=True)
class TrafficScenario:
    """Traffic of a scenario.

    Attributes:
        rate: Messages a second that clients submit to each courier.
        for_s: For how many seconds they submit.
        deadline_s: Deadline of each message, in seconds after its first submission.
        slow_s: Maximum time that the destination takes for a message.
        busy_share: Share of its calls that the destination refuses.
        amqp_share: Share of the messages that are published over AMQP.
        seed: Seed of the random numbers of clients and destination.
        loops: If not 0, this many clients of each courier submit one message after the other, in place of the
            clients that submit at `rate`.
        at: The couriers that get the traffic; all if empty.
        limit: The rate limit that the destination is listed with, in calls a second.
    """

    rate: float = 10.0
    for_s: float = 10.0
    deadline_s: float = 15.0
    slow_s: float = 0.02
    busy_share: float = 0.05
    amqp_share: float = 0.0
    seed: int = 1
    loops: int = 0
    at: Sequence[str] = ()
    limit: int = 500

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Decode the table `traffic`.

        Raises:
            ScenarioError: A key is unknown.
        """
        try:
            return cls(**table)
        except TypeError as error:
            raise ScenarioError(f"traffic: {error}") from None


@dataclass(frozen=True)
class ClusterScenario:
    """A scenario of couriers that are members of one cluster.

    Attributes:
        members: How many members there are.
        seconds: Duration, counted from when all members that are not late serve.
        late: Members that are not started at the beginning.
        seed: Seed of the proxy's random numbers.
        fleet: The fleet name that the members' datagrams carry.
        service: The DNS-SD service by which the members find their seeds; if empty, each has a list of them.
        tuning: Settings of each courier's `[members]` table.
        leases: The leases; None without leases.
        replication: Settings of each courier's `[copies]` table; None without replication.
        traffic: The traffic; None without traffic.
        faults: The faults, in order of their times.
        expectations: Tables of what the history is checked for.
    """

    members: int
    seconds: float
    late: frozenset[str] = frozenset()
    seed: int = 0
    fleet: str = DEFAULT_FLEET
    service: str = ""
    tuning: Mapping[str, Any] = field(default_factory=dict)
    leases: LeaseScenario | None = None
    replication: Mapping[str, Any] | None = None
    traffic: TrafficScenario | None = None
    faults: Sequence[FaultEvent] = ()
    expectations: Sequence[Mapping[str, Any]] = ()

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Decode a scenario; only `members` and `seconds` are required.

        Raises:
            ScenarioError: A fault or the traffic cannot be decoded, or a fault has no time.
        """
        faults = [FaultEvent.from_table(fault) for fault in table.get("at", ())]
        if not all("s" in fault.table for fault in faults):
            raise ScenarioError(
                f"a fault has no time `s`: {[fault.table for fault in faults if 's' not in fault.table]}"
            )
        leases, traffic = table.get("leases"), table.get("traffic")
        return cls(
            members=table["members"],
            seconds=table["seconds"],
            late=frozenset(table.get("late", ())),
            seed=table.get("seed", 0),
            fleet=table.get("fleet", DEFAULT_FLEET),
            service=table.get("service", ""),
            tuning=table.get("tuning", {}),
            leases=LeaseScenario.from_table(leases) if leases else None,
            replication=table.get("copies"),
            traffic=TrafficScenario.from_table(traffic) if traffic is not None else None,
            faults=sorted(faults, key=lambda fault: fault.at_s),
            expectations=table.get("expect", ()),
        )


def load(path: str | PathLike[str]) -> dict[str, Any]:
    """Read a scenario file.

    Raises:
        ScenarioError: The file cannot be read or decoded, or `members` or `seconds` is out of range.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    members, seconds = table.get("members"), table.get("seconds")
    if not isinstance(members, int) or not 1 <= members <= MAX_MEMBERS:
        raise ScenarioError(
            f"{path}: members: expected an integer from 1 to {MAX_MEMBERS}, found {members!r}"
        )
    if not isinstance(seconds, int | float) or not 0 < seconds <= MAX_SECONDS:
        raise ScenarioError(
            f"{path}: seconds: expected a number above 0, at most {MAX_SECONDS}, found {seconds!r}"
        )
    return table
