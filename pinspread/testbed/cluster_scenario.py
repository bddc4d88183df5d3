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
    voters = 3                  #   the first so many members vote
    tasks = ["sweep"]           #   held and acted on at the stand-in resource, every act_s
    act_s = 0.1
    [copies]                    # optional: settings of every courier's [copies] table
    [traffic]                   # optional: clients, a destination and the platform (TrafficScenario)
    [[at]]                      # a fault at a time; who may be "@leader" or "@holder:TASK"
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
    """A scenario that cannot be played; the text says why."""


class FaultKind(StrEnum):
    """What a fault does (`do`)."""

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
    """A fault at a time.

    Attributes:
        table: The fault as the scenario has it, for the history.
        kind: What it does.
        at_s: When, in seconds after all members serve.
        who: The members that it strikes; all where empty.
        sources: For datagrams and streams: from these members, all where empty.
        targets: To these members, all where empty.
        groups: The sides of a split.
        share: Of datagrams, for loss and duplicates.
        delay_s: For a delay.
        jitter_s: The most that chance adds to it.
        file: Pattern of the file in the state folder that a flip damages.
        offset_ms: What a member's clock is off by from its next start.
        clock_rate: How fast it runs.
        seed: Of the bytes of garbage.
        count: How many datagrams of garbage or strangers.
        port: Where they go.
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
        """Decode a fault, of which only `do` must be there; keys that are unknown are ignored.

        Raises:
            ScenarioError: Its kind is unknown.
        """
        fields = {FAULT_KEYS[key]: value for key, value in table.items() if key in FAULT_KEYS}
        try:
            kind = FaultKind(table.get("do", ""))
        except ValueError:
            raise ScenarioError(f"unknown fault {table.get('do', '')!r}") from None
        return cls(table=dict(table), kind=kind, **fields)


# The keys of a fault in a scenario beside `do`, and the fields that they are.
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
        voters: How many members vote, from the first.
        tasks: What is held and acted on.
        act_s: How often a holder acts.
        settings: The rest of each courier's `[leases]` table.
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
        rate: Messages a second that clients submit at each courier.
        for_s: For how many seconds.
        deadline_s: The time of each message, in seconds.
        slow_s: The most that the destination takes for one.
        busy_share: Share of its calls that the destination refuses.
        amqp_share: Share of the messages that come by AMQP.
        seed: Of the clients' draws.
        loops: So many clients of a courier submit one message after the other instead, whatever `rate` is.
        at: Only at these couriers; at all where empty.
        limit: Calls a second that the destination is listed with.
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
    """A scenario of couriers with membership.

    Attributes:
        members: How many there are.
        seconds: How long it goes, from when those that are not late serve.
        late: Members that are not started at first.
        seed: Of the proxy's draws.
        fleet: The name that the members' datagrams carry.
        service: The DNS-SD service by which they find their seeds; by a list where empty.
        tuning: Settings of each courier's `[members]` table.
        leases: None without leases.
        replication: Settings of each courier's `[copies]` table; None without replication.
        traffic: None without traffic.
        faults: In order of their times.
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
        """Decode a scenario, of which only `members` and `seconds` must be there.

        Raises:
            ScenarioError: A fault or the traffic cannot be decoded, or a fault has no time.
        """
        faults = [FaultEvent.from_table(fault) for fault in table.get("at", ())]
        if not all("s" in fault.table for fault in faults):
            raise ScenarioError("a fault has no time `s`")
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
    """Read a scenario's file.

    Raises:
        ScenarioError: It cannot be read, or a figure is out of range.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    members, seconds = table.get("members"), table.get("seconds")
    if not isinstance(members, int) or not 1 <= members <= MAX_MEMBERS:
        raise ScenarioError(f"{path}: members: from 1 to {MAX_MEMBERS}")
    if not isinstance(seconds, int | float) or not 0 < seconds <= MAX_SECONDS:
        raise ScenarioError(f"{path}: seconds: above 0, at most {MAX_SECONDS}")
    return table
