"""The tables and keys of an application's TOML file, with what each may hold.

The names of fields are the keys of the file, and the names of classes show in pydantic's messages to whoever
writes one: both stay. Times are seconds unless their name says otherwise.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from pinspread.sockets import split_address


def _address(text: str) -> str:
    if text and not 0 < split_address(text)[1] < 65_536:
        raise ValueError("the port must be from 1 to 65535")
    return text


def _domain(text: str) -> str:
    labels = text.rstrip(".").split(".")
    if not all(0 < len(label) < 64 for label in labels):
        raise ValueError("not a domain name")
    return text.rstrip(".") + "."


Address = Annotated[str, AfterValidator(_address)]
Domain = Annotated[str, AfterValidator(_domain)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class Table(BaseModel):
    """A table of the file: no unknown names, no guessed types."""

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
    """The folder that lasts, and its room."""

    folder: Annotated[str, Field(min_length=1)]
    disk_mb: Annotated[float, Field(ge=0.1, le=1024)] = 3


class Limits(Table):
    """How much the node holds, sends and waits."""

    calls_out: Annotated[int, Field(ge=1, le=512)] = 16
    most_held: Annotated[int, Field(ge=1, le=100_000)] = 200
    max_attempts: Annotated[int, Field(ge=1, le=6)] = 6
    couriers: Annotated[int, Field(ge=1, le=1000)] = 1
    dial_s: Seconds = 1.0
    keepalive_s: Seconds = 15.0
    max_come_back_s: Seconds = 2.0


class Discovery(Table):
    """Where the endpoints are found by DNS-SD."""

    domain: Domain
    zone_file: str = ""
    server: Address = ""
    refresh_s: Seconds = 5.0
    services: list[Annotated[str, Field(pattern=r"^_[a-z0-9-]{1,15}\._tcp$")]] = ["_http._tcp", "_amqp._tcp"]


class Brokers(Table):
    """How to log in where an endpoint is an AMQP broker."""

    user: Annotated[str, Field(min_length=1)] = "guest"
    password_file: str = ""  # read at the start; the password does not stand in this file


class Members(Table):
    """Membership among nodes (SWIM); off unless the file has this table."""

    id: Name
    listen: Address
    advertise: Address = ""  # where the others reach this one; the listen address if empty
    seeds: list[Address] = []
    service: Annotated[str, Field(pattern=r"^(_[a-z0-9-]{1,15}\._udp)?$")] = ""  # seeds by DNS-SD as well
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
    clock_offset_ms: Annotated[int, Field(ge=-3_600_000, le=3_600_000)] = 0  # for the testbed
    clock_rate: Annotated[float, Field(ge=0.5, le=2)] = 1.0  # likewise


class Voter(Table):
    """A node that has a vote on leases, and where its `[leases] advertise` is."""

    id: Name
    address: Address


class LeaseTask(Table):
    """A task of the fleet; with an address, its holder calls it every `every_s`."""

    name: Name
    address: Address = ""
    every_s: Annotated[float, Field(ge=0.01, le=86_400)] = 1.0


class Leases(Table):
    """Leases for fleet-wide tasks; off unless the file has this table, which needs `[members]`."""

    listen: Address
    advertise: Address = ""  # where the others reach this one; the listen address if empty
    lease_s: Annotated[float, Field(ge=0.2, le=3600)] = 10.0
    renew_s: Annotated[float, Field(ge=0.05, le=3600)] = 3.0
    retry_s: Annotated[float, Field(ge=0.05, le=60)] = 0.5
    drift_s: Annotated[float, Field(ge=0, le=600)] = 0.5  # a clock's gain or loss in the course of a lease
    margin_s: Annotated[float, Field(ge=0, le=600)] = 0.2  # between the check and the act's effect
    election_s: Annotated[float, Field(ge=0.1, le=60)] = 0.5
    sync: bool = False  # a voter's log is on its disk before a message speaks of it
    voters: Annotated[list[Voter], Field(alias="voter", min_length=1)]
    tasks: Annotated[list[LeaseTask], Field(alias="task", max_length=64)] = []


class Copies(Table):
    """Replication of what this node holds; off unless the file has this table; needs `[leases]`."""

    listen: Address  # the same port on all nodes; others reach it at the host of `[members] advertise`
    folder: str = ""  # copies of others' work; below the journal's folder if empty
    count: Annotated[int, Field(ge=1, le=8)] = 2  # R
    need: Annotated[int, Field(ge=1, le=8)] = 1  # W
    ack_s: Annotated[float, Field(ge=0.01, le=10)] = 0.3
    alone: bool = False  # promise on one disk where too few copies are to be had
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
