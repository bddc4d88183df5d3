"""The tables and keys of an application's TOML file, with their types and limits.

The names of fields are the keys of the file, and the names of classes appear in pydantic's messages to the
author of a file, so neither may change. Times are in seconds unless their name says otherwise.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from pinspread.sockets import split_address


def _address(text: str) -> str:
    if text and not 0 < split_address(text)[1] < 65_536:
        raise ValueError(f"the port must be from 1 to 65535: {text!r}")
    return text


def _domain(text: str) -> str:
    labels = text.rstrip(".").split(".")
    if not all(0 < len(label) < 64 for label in labels):
        raise ValueError(f"not a domain name: {text!r}")
    return text.rstrip(".") + "."


Address = Annotated[str, AfterValidator(_address)]
Domain = Annotated[str, AfterValidator(_domain)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class Table(BaseModel):
    """A table of the file; unknown keys and values of another type are refused."""

    model_config = ConfigDict(extra="forbid", strict=True)


class Application(Table):
    """The application that the node serves."""

    name: Name


class Listen(Table):
    """Where the node listens; a front without an address is off."""

    resp: Address = ""
    amqp: Address = ""
    admin: Address = ""
    heartbeat_s: Annotated[int, Field(ge=0, le=3600)] = 30


class Journal(Table):
    """The persistent folder, and its limit of disk space."""

    folder: Annotated[str, Field(min_length=1)]
    disk_mb: Annotated[float, Field(ge=0.1, le=1024)] = 3


class Limits(Table):
    """Limits on messages and attempts, and the node's time limits."""

    calls_out: Annotated[int, Field(ge=1, le=512)] = 16
    most_held: Annotated[int, Field(ge=1, le=100_000)] = 200
    max_attempts: Annotated[int, Field(ge=1, le=6)] = 6
    couriers: Annotated[int, Field(ge=1, le=1000)] = 1
    dial_s: Seconds = 1.0
    keepalive_s: Seconds = 15.0
    max_come_back_s: Seconds = 2.0


class Discovery(Table):
    """Where endpoints are discovered by DNS-SD."""

    domain: Domain
    zone_file: str = ""
    server: Address = ""
    refresh_s: Seconds = 5.0
    services: list[Annotated[str, Field(pattern=r"^_[a-z0-9-]{1,15}\._tcp$")]] = ["_http._tcp", "_amqp._tcp"]


class Brokers(Table):
    """The login for endpoints that are AMQP brokers."""

    user: Annotated[str, Field(min_length=1)] = "guest"
    password_file: str = ""  # read at the start, so that the password is not in this file


class Members(Table):
    """Membership among nodes (SWIM); off unless the file has this table."""

    id: Name
    listen: Address
    advertise: Address = ""  # the address at which others reach this node; if empty, `listen`
    seeds: list[Address] = []
    service: Annotated[str, Field(pattern=r"^(_[a-z0-9-]{1,15}\._udp)?$")] = ""  # more seeds, by DNS-SD
    fleet: Name  # datagrams of nodes of another fleet are ignored
    period_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0
    timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 0.4
    indirect: Annotated[int, Field(ge=0, le=16)] = 3
    suspicion_alpha: Annotated[float, Field(ge=1, le=100)] = 4.0
    suspicion_beta: Annotated[float, Field(ge=1, le=100)] = 6.0
    gossip_lambda: Annotated[float, Field(ge=1, le=100)] = 4.0
    sync_s: Annotated[float, Field(ge=0.1, le=3600)] = 5.0
    forget_s: Annotated[float, Field(ge=1, le=86_400)] = 120.0
    most_health: Annotated[int, Field(ge=0, le=8)] = 8  # Lifeguard: 0 turns local health off
    clock_offset_ms: Annotated[int, Field(ge=-3_600_000, le=3_600_000)] = 0  # for tests with the testbed
    clock_rate: Annotated[float, Field(ge=0.5, le=2)] = 1.0  # for tests with the testbed, too


class Voter(Table):
    """A node that votes on leases, with the address of its `[leases] advertise`."""

    id: Name
    address: Address


class LeaseTask(Table):
    """A fleet-wide task; if it has an address, the holder of its lease calls that every `every_s`."""

    name: Name
    address: Address = ""
    every_s: Annotated[float, Field(ge=0.01, le=86_400)] = 1.0


class Leases(Table):
    """Leases for fleet-wide tasks; off unless the file has this table, which needs `[members]`."""

    listen: Address
    advertise: Address = ""  # the address at which others reach this node; if empty, `listen`
    lease_s: Annotated[float, Field(ge=0.2, le=3600)] = 10.0
    renew_s: Annotated[float, Field(ge=0.05, le=3600)] = 3.0
    retry_s: Annotated[float, Field(ge=0.05, le=60)] = 0.5
    drift_s: Annotated[float, Field(ge=0, le=600)] = 0.5  # how much a clock may gain or lose during a lease
    margin_s: Annotated[float, Field(ge=0, le=600)] = 0.2  # from the check of a lease to its action's effect
    election_s: Annotated[float, Field(ge=0.1, le=60)] = 0.5
    sync: bool = False  # a voter's log is synced to disk before any message refers to it
    voters: Annotated[list[Voter], Field(alias="voter", min_length=1)]
    tasks: Annotated[list[LeaseTask], Field(alias="task", max_length=64)] = []


class Copies(Table):
    """Replication of this node's messages; off unless the file has this table, which needs `[leases]`."""

    listen: Address  # all nodes use the same port; others reach it at the host of `[members] advertise`
    folder: str = ""  # for replicas of other nodes' journals; if empty, below the journal's folder
    count: Annotated[int, Field(ge=1, le=8)] = 2  # R, how many replicas
    need: Annotated[int, Field(ge=1, le=8)] = 1  # W, how many must acknowledge
    ack_s: Annotated[float, Field(ge=0.01, le=10)] = 0.3
    alone: bool = False  # accept messages on one disk if too few replicas are available
    check_s: Annotated[float, Field(ge=0.5, le=86_400)] = 30.0
    stagger_s: Annotated[float, Field(ge=0, le=600)] = 0.5
    patience_s: Annotated[float, Field(ge=0, le=3600)] = 10.0
    absent_s: Annotated[float, Field(ge=1, le=864_000)] = 60.0
    sync: bool = False


class Notices(Table):
    """Where final results of RESP2 messages are sent."""

    address: Address


class Class(Table):
    """A class of messages."""

    name: Name
    aim_s: Seconds
    deadline_s: Seconds
    effect: Literal["repeatable", "by_key", "once"]
    window_s: Annotated[float, Field(ge=0, le=86_400)] = 0
    in_order: bool = False
    worth: Annotated[float, Field(gt=0)] = 1.0
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.5


class Tenant(Table):
    """A tenant, with its share and its quota."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1)]
    quota_per_s: Annotated[float, Field(gt=0)]


class File(Table):
    """A whole file."""

    application: Application
    listen: Listen
    journal: Journal
    discovery: Discovery
    limits: Limits = Limits()
    brokers: Brokers = Brokers()
    notices: Notices | None = None
    members: Members | None = None
    leases: Leases | None = None
    copies: Copies | None = None
    kinds: Annotated[list[Name], Field(min_length=1)] = ["partner"]
    classes: Annotated[list[Class], Field(alias="class", min_length=1)]
    tenants: Annotated[list[Tenant], Field(alias="tenant", min_length=1)]
