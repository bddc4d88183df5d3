"""One application's configuration file: writing it, checking it, and turning it into a courier's settings.

The file is TOML. Off the platform it says all that the platform would tell a courier.
"""

import os
import tomllib
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from pinspread.config import settings
from pinspread.sockets import split_address

SECOND = 1_000_000_000


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


class Part(BaseModel):
    """A table of the file: no unknown names, no guessed types."""

    model_config = ConfigDict(extra="forbid", strict=True)


class Application(Part):
    name: Name


class Listen(Part):
    resp: Address = ""
    amqp: Address = ""
    admin: Address = ""
    heartbeat_s: Annotated[int, Field(ge=0, le=3600)] = 30


class Journal(Part):
    folder: Annotated[str, Field(min_length=1)]
    disk_mb: Annotated[float, Field(ge=0.1, le=1024)] = 3


class Limits(Part):
    calls_out: Annotated[int, Field(ge=1, le=512)] = 16
    most_held: Annotated[int, Field(ge=1, le=100_000)] = 200
    max_attempts: Annotated[int, Field(ge=1, le=6)] = 6
    couriers: Annotated[int, Field(ge=1, le=1000)] = 1
    dial_s: Seconds = 1.0
    keepalive_s: Seconds = 15.0
    max_come_back_s: Seconds = 2.0


class Discovery(Part):
    domain: Domain
    zone_file: str = ""
    server: Address = ""
    refresh_s: Seconds = 5.0
    services: list[Annotated[str, Field(pattern=r"^_[a-z0-9-]{1,15}\._tcp$")]] = ["_http._tcp", "_amqp._tcp"]


class Brokers(Part):
    user: Annotated[str, Field(min_length=1)] = "guest"
    password_file: str = ""  # read at the start; the password does not stand in this file

    def login(self) -> str:
        """The response of AMQP's PLAIN mechanism."""
        if not self.password_file:
            return f"\0{self.user}\0guest"
        try:
            with open(self.password_file) as file:
                return f"\0{self.user}\0{file.readline().rstrip()}"
        except OSError as error:
            raise settings.SettingsError(f"brokers.password_file: {error}") from None


class Members(Part):
    """Membership among couriers (SWIM); off unless the file has this table."""

    id: Name
    listen: Address
    advertise: Address = ""  # where the others reach this one; the listen address if empty
    seeds: list[Address] = []
    service: Annotated[str, Field(pattern=r"^(_[a-z0-9-]{1,15}\._udp)?$")] = ""  # seeds by DNS-SD as well
    fleet: Name  # couriers of another fleet are not heard
    period_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0
    timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 0.4
    indirect: Annotated[int, Field(ge=0, le=16)] = 3
    suspicion_alpha: Annotated[float, Field(ge=1, le=100)] = 4.0
    suspicion_beta: Annotated[float, Field(ge=1, le=100)] = 6.0
    gossip_lambda: Annotated[float, Field(ge=1, le=100)] = 4.0
    sync_s: Annotated[float, Field(ge=0.1, le=3600)] = 5.0
    forget_s: Annotated[float, Field(ge=1, le=86_400)] = 120.0
    most_health: Annotated[int, Field(ge=0, le=8)] = 8  # Lifeguard: 0 turns local health off
    clock_offset_ms: Annotated[int, Field(ge=-3_600_000, le=3_600_000)] = 0  # for the fault stage
    clock_rate: Annotated[float, Field(ge=0.5, le=2)] = 1.0  # likewise

    def plan(self):
        """What `pinspread.membership.service` runs by."""
        from pinspread.membership import service as member
        from pinspread.membership import swim

        us = 1_000_000
        tuning = swim.SwimConfig(
            period_us=int(self.period_s * us),
            timeout_us=int(self.timeout_s * us),
            indirect_probes=self.indirect,
            suspicion_alpha=self.suspicion_alpha,
            suspicion_beta=self.suspicion_beta,
            gossip_lambda=self.gossip_lambda,
            sync_us=int(self.sync_s * us),
            forget_us=int(self.forget_s * us),
            max_health=self.most_health,
        )
        advertise = self.advertise or self.listen
        return member.MembershipConfig(
            self.id,
            self.listen,
            advertise,
            tuple(self.seeds),
            self.fleet.encode(),
            tuning,
            self.clock_offset_ms * 1000,
            self.clock_rate,
            self.service,
        )


class Voter(Part):
    """A courier that has a vote on leases, and where its `[leases] advertise` is."""

    id: Name
    address: Address


class LeaseTask(Part):
    """A task of the fleet; with an address, its holder calls it every `every_s`."""

    name: Name
    address: Address = ""
    every_s: Annotated[float, Field(ge=0.01, le=86_400)] = 1.0


class Leases(Part):
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

    def plan(self, folder):
        """What `pinspread.leases.service` runs by; what lasts goes below `folder`."""
        from pinspread.leases import service as leases
        from pinspread.leases import state_machine as lease

        us = 1_000_000
        figures = (self.lease_s, self.drift_s, self.margin_s, self.renew_s, self.retry_s)
        return leases.LeaseConfig(
            self.listen,
            self.advertise or self.listen,
            {v.id: v.address for v in self.voters},
            tuple(leases.LeaseTask(t.name, t.address, int(t.every_s * us)) for t in self.tasks),
            lease.LeaseTerms(*(int(f * us) for f in figures)),
            self.election_s,
            os.path.join(folder, "leases"),
            self.sync,
        )


class Copies(Part):
    """Copies of what this courier holds; off unless the file has this table; needs `[leases]`."""

    listen: Address  # the same port on all couriers; others reach it at the host of `[members] advertise`
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

    def plan(self, folder):
        """What `pinspread.replication` runs by; what lasts goes below `folder`."""
        from pinspread.replication.config import ReplicationConfig

        us = 1_000_000
        return ReplicationConfig(
            self.listen,
            self.folder or os.path.join(folder, "copies"),
            self.count,
            self.need,
            int(self.ack_s * us),
            self.alone,
            int(self.check_s * us),
            int(self.stagger_s * us),
            int(self.patience_s * us),
            int(self.absent_s * us),
            self.sync,
        )


class Notices(Part):
    address: Address


class Class(Part):
    name: Name
    aim_s: Seconds
    deadline_s: Seconds
    effect: Literal["repeatable", "by_key", "once"]
    window_s: Annotated[float, Field(ge=0, le=86_400)] = 0
    in_order: bool = False
    worth: Annotated[float, Field(gt=0)] = 1.0
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.5


class Tenant(Part):
    name: Name
    share: Annotated[float, Field(gt=0, le=1)]
    quota_per_s: Annotated[float, Field(gt=0)]


class File(Part):
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


def problems(text: str) -> list[str]:
    """Everything that is wrong with a file's text, each with its place; empty if it is well."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [str(error)]
    found = []
    try:
        File.model_validate(raw)
    except ValidationError as error:
        found = [f"{_place(e['loc'])}: {_words(e)}" for e in error.errors()]
    return found + [f"{place}: {text}" for place, text in _disagreements(raw)]


def _disagreements(raw):
    """What is well by itself but not together, found whatever else is wrong."""

    def table(name):
        return raw[name] if isinstance(raw.get(name), dict) else {}

    def tables(name):
        items = raw.get(name)
        return [i for i in items if isinstance(i, dict)] if isinstance(items, list) else []

    listen, discovery = table("listen"), table("discovery")
    if not listen.get("resp") and not listen.get("amqp"):
        yield "listen", "nothing to listen on: give resp, amqp or both"
    used = [listen.get(name) for name in ("resp", "amqp", "admin")]
    for n, name in enumerate(("amqp", "admin"), 1):
        if used[n] and used[n] in used[:n]:
            yield f"listen.{name}", f"{('resp', 'amqp')[used.index(used[n])]} has the same address"
    if listen.get("resp") and "notices" not in raw:
        yield "listen.resp", "needs notices.address: its clients hear of ends by notices"
    members = table("members")
    period, timeout = members.get("period_s", 1.0), members.get("timeout_s", 0.4)
    if isinstance(period, int | float) and isinstance(timeout, int | float) and timeout >= period:
        yield "members.timeout_s", "must be under period_s: an indirect probe needs the rest of the period"
    if members.get("id") and members.get("listen") in used:
        yield "members.listen", "is the address of a front or the door"
    if "leases" in raw:
        yield from _lease_disagreements(raw, table("leases"), members)
    if "copies" in raw:
        yield from _copies_disagreements(raw, table("copies"), [members, table("leases")])
    if bool(discovery.get("zone_file")) == bool(discovery.get("server")):
        yield "discovery", "give either zone_file or server"
    for n, one in enumerate(tables("class")):
        if one.get("effect") == "by_key" and not one.get("window_s"):
            yield f"class[{n}].window_s", "effect by_key needs it above 0"
        aim, deadline = one.get("aim_s"), one.get("deadline_s")
        if isinstance(aim, int | float) and isinstance(deadline, int | float) and deadline < aim:
            yield f"class[{n}].deadline_s", "is under aim_s"
    for what in ("class", "tenant"):
        names = [one.get("name") for one in tables(what)]
        for n, name in enumerate(names):
            if name is not None and name in names[:n]:
                yield f"{what}[{n}].name", f"{name!r} is named twice"


def _copies_disagreements(raw, copies, others):
    if "leases" not in raw:
        yield "copies", "needs [leases]: who may act for whose work is a lease"
    if copies.get("listen") and copies.get("listen") in [o.get("listen") for o in others]:
        yield "copies.listen", "is the address of [members] or [leases]"
    count, need = copies.get("count", 2), copies.get("need", 1)
    if isinstance(count, int) and isinstance(need, int) and need > count:
        yield "copies.need", f"is over count ({count})"


def _lease_disagreements(raw, leases, members):
    if "members" not in raw:
        yield "leases", "needs [members]: its id, its fleet and its clock"
    if leases.get("listen") and leases.get("listen") == members.get("listen"):
        yield "leases.listen", "is the address of [members]"
    default = Leases.model_fields
    figures = {}
    for name in ("lease_s", "renew_s", "retry_s", "drift_s", "margin_s"):
        figures[name] = leases.get(name, default[name].default)
    if all(isinstance(f, int | float) for f in figures.values()):
        left = figures["lease_s"] - figures["drift_s"] - figures["margin_s"]
        if figures["renew_s"] + 2 * figures["retry_s"] >= left:
            yield (
                "leases.renew_s",
                f"renew_s and two retry_s must fit into lease_s - drift_s - margin_s ({left:g} s)",
            )
    for what, field, least in (("voter", "id", (3, 5)), ("voter", "address", ()), ("task", "name", ())):
        items = leases.get(what)
        found = [i.get(field) for i in items if isinstance(i, dict)] if isinstance(items, list) else []
        if least and found and len(found) not in least:
            yield f"leases.{what}", f"{len(found)} voters: 3 or 5 are needed"
        for n, one in enumerate(found):
            if one is not None and one in found[:n]:
                yield f"leases.{what}[{n}].{field}", f"{one!r} is named twice"


def _place(parts):
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "file"


def _words(error):
    return error["msg"].removeprefix("Value error, ")


def load(path: str) -> File:
    """A file that is well; `SettingsError` with all problems otherwise."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise settings.SettingsError(f"{path}: {error}") from None
    found = problems(text)
    if found:
        raise settings.SettingsError("\n".join(f"{path}: {line}" for line in found))
    return File.model_validate(tomllib.loads(text))


def told(file: File, seed: int | None = None) -> settings.EffectiveSettings:
    """A courier's settings from its application's file, by way of the platform's form."""
    limits = file.limits
    lanes = [
        {
            "name": c.name,
            "aimNs": int(c.aim_s * SECOND),
            "deadlineNs": int(c.deadline_s * SECOND),
            "effect": c.effect,
            "group": "all",
            "windowNs": int(c.window_s * SECOND),
            "serialByKey": c.in_order,
            "value": c.worth,
            "lateShare": c.late_share,
        }
        for c in file.classes
    ]
    return settings.read(
        {
            "name": file.application.name,
            "listen": file.listen.resp,
            "admin_addr": file.listen.admin,
            "discovery": file.notices.address if file.notices else "",
            "state": file.journal.folder,
            "seed": f"{int.from_bytes(os.urandom(8)) if seed is None else seed:x}",
            "limits": {"disk_mb": file.journal.disk_mb},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": {
                "balancers": limits.couriers,
                "lanes": lanes,
                "projects": [
                    {"name": t.name, "quotaRps": t.quota_per_s, "share": t.share} for t in file.tenants
                ],
                "shapes": file.kinds,
                "zones": ["local"],
                "weights": "nominal",
                "specifics": {
                    "bundleMax": [1] * len(file.kinds),
                    "kindApart": [False] * len(file.kinds),
                    "callsOut": limits.calls_out,
                    "late": "halves",
                },
                "rules": {
                    "drainGraceNs": SECOND // 4,
                    "coldFrom": 0.2,
                    "coldNs": 9 * SECOND,
                    "tipMultiple": 2.0,
                },
                "policyLimits": {
                    "mostHeld": limits.most_held,
                    "sendCap": limits.max_attempts,
                    "probes": True,
                    "retryAfter": True,
                    "maxRetryAfterNs": int(limits.max_come_back_s * SECOND),
                    "dialTimeoutNs": int(limits.dial_s * SECOND),
                    "keepaliveNs": int(limits.keepalive_s * SECOND),
                },
            },
        },
        {},
    )


def template(name: str) -> str:
    """A new application's file, which is well as it is."""
    return f'''# The courier of the application "{name}". Check it with: python -m pinspread config check FILE

[application]
name = "{name}"

[listen]                       # at least one; the AMQP front is off without an address
resp = "127.0.0.1:6379"
amqp = "127.0.0.1:5672"
admin = "127.0.0.1:9600"       # the door for staff: ready, endpoints out and back
heartbeat_s = 30

[notices]                      # where ends of RESP2 messages are told
address = "127.0.0.1:8500"

[journal]
folder = "state"               # must last; old and new file together stay under disk_mb
disk_mb = 3

[limits]
calls_out = 16                 # branches out at once
most_held = 200                # transactions held, sent or not
max_attempts = 6
couriers = 1                   # that serve the same partners

[discovery]                    # next hops by DNS-SD: either a zone file or a server
domain = "partners.example."
zone_file = "partners.zone"
refresh_s = 5

[brokers]                      # how to log in where a next hop is an AMQP broker
user = "guest"                 # password_file = "..." names a file whose first line is the password

[[class]]
name = "booking-change"
aim_s = 3
deadline_s = 24
effect = "by_key"              # repeatable, by_key or once
window_s = 25                  # for how long a repeat is dropped
in_order = true                # one at a time for each key
worth = 1

[[class]]
name = "status-update"
aim_s = 4
deadline_s = 16
effect = "repeatable"
worth = 2

[[class]]
name = "payment"
aim_s = 2
deadline_s = 20
effect = "once"
worth = 5
late_share = 0.3

[[tenant]]
name = "all"
share = 1.0
quota_per_s = 30.0
'''
