"""The model of a fleet: what scenarios are drawn from, as it stands in experiment files.

The names of the fields are keys of those files and stay; the defaults are the published facts of the site
addis-office. A figure given as a list of two is a range that each seed draws from; one number is that number.
"""

from typing import TYPE_CHECKING, Annotated, Any, Literal, Self

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator


class StrictModel(BaseModel):
    """A table of the file: no unknown names, no guessed types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _range(value: float | list[float]) -> tuple[float, float]:
    low, high = value if isinstance(value, list) else (value, value)
    if low > high:
        raise ValueError(f"a range must rise, not fall from {low} to {high}")
    if low < 0:
        raise ValueError(f"must not be negative, not {low}")
    return float(low), float(high)


Number = Annotated[float, Field(allow_inf_nan=False)]
if TYPE_CHECKING:
    # What a validated model holds. Files give one number or a list of two.
    Range = tuple[float, float]
else:
    Range = Annotated[
        Number | Annotated[list[Number], Field(min_length=2, max_length=2)], AfterValidator(_range)
    ]
Fraction = Annotated[float, Field(ge=0, le=1)]
PositiveFloat = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")]


class TrafficModel(StrictModel):
    """The messages that clients submit."""

    rate_per_s: PositiveFloat = 31.0  # first tries of all clients, in the mean
    # What that is of full load, from which call slots, places for messages and destinations' limits follow.
    load: PositiveFloat = 0.75
    zipf: Range = (0.8, 1.15)  # exponent of the partners' shares of the traffic
    swing: Range = (0.2, 0.35)  # part of the rate that a slow wave adds and takes
    clump_share: Range = (0.05, 0.18)  # share of the messages that come in clumps for one partner
    clump_s: Range = (1.3, 2.9)  # a clump: as many as its partner takes in so long
    key_life_s: Range = (5.0, 15.0)
    key_gap_s: Range = (0.4, 2.0)  # between messages of one key
    courier_skew: Range = (0.2, 0.4)  # coefficient of variation of the instances' shares of the traffic
    retries: Annotated[int, Field(ge=0, le=10)] = 2  # times that a client comes again after a busy answer
    backoff_s: Range = (0.47, 1.4)  # and after how long, where nothing was told
    honour: Fraction = 0.64  # share of the clients that heed a told time
    over_share_worth: Fraction = 0.2


class DestinationsModel(StrictModel):
    """The destinations that messages go to."""

    endpoints: Annotated[int, Field(ge=1, le=200_000)] = 25
    per_partner: Range = (1.0, 4.0)
    mean_per_partner: PositiveFloat = 1.75
    work: Literal["lognormal", "exponential"] = "lognormal"
    work_spread: PositiveFloat = 0.5  # sigma of the log-normal
    pace: Range = (0.5, 2.0)  # partners' own pace: times the work of a class
    least_cores: Annotated[int, Field(ge=1)] = 2
    headroom: Range = (1.1, 2.3)  # capacity over calls at full load
    least_per_s: Range = (2.2, 4.9)
    queue_s: PositiveFloat = 2.0  # what waits at an endpoint, in seconds of its capacity
    big_share: Fraction = 0.33
    big_headroom: Range = (0.98, 2.3)  # a limit over calls at full load
    big_least_per_s: Range = (1.8, 4.2)
    big_span_s: Range = (1.0, 2.0)
    big_tells: Range = (0.5, 0.95)
    small_tells: Range = (0.0065, 0.6)  # share of refusals that tell the end, while shut
    refused_count: Fraction = 0.5  # share of the days on which refused calls use the limit up too
    table: Range = (2.3, 3.4)  # connections that a small partner's endpoint takes, times its cores
    least_table: Range = (6.1, 16.0)
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    warm_s: PositiveFloat = 9.0
    fall_multiple: PositiveFloat = 2.0
    fall_s: PositiveFloat = 1.5
    fall_slack: Annotated[float, Field(ge=0)] = 4.0  # calls that chance may add to what a cold partner gets
    weights: Fraction = 0.0  # how far listed rates may be off; 0: the couriers are told that they are exact


class InstancesModel(StrictModel):
    """The instances. Settings of the policy that a variant may replace stand in its `settings`."""

    count: Annotated[int, Field(ge=1, le=5000)] = 3
    slots: Range = (2.0, 2.4)  # times what its part of full load keeps busy
    least_slots: Annotated[int, Field(ge=1)] = 2
    hold_s: Range = (6.4, 13.0)
    least_held: Annotated[int, Field(ge=1)] = 8
    max_attempts: Annotated[int, Field(ge=1, le=6)] = 6
    keepalive_s: PositiveFloat = 15.0
    dial_s: PositiveFloat = 1.0
    max_come_back_s: Annotated[float, Field(ge=0)] = 2.0
    probes: bool = True
    start_spread_s: Annotated[float, Field(ge=0)] = 0.5
    boot_s: Range = (0.17, 0.28)  # from a start to PONG: the least and most of 21 starts on loopback
    resume: bool = True  # the journal outlasts a restart; without it, what was held is lost


class NetworkModel(StrictModel):
    """The network between instances and destinations, one way."""

    delay_ms: Range = (5.0, 15.0)
    jitter: Fraction = 0.2
    handshake_ms: Annotated[float, Field(ge=0)] = 2.0  # work that a new connection makes at an endpoint
    full_table: Literal["busy", "refused"] = "busy"  # a connection too many: a 503, as the protocol says
    silent_accepts: bool = False  # a silent endpoint's kernel still takes connections, as on loopback
    reset_share: Fraction = 0.0  # share of calls on kept connections that end as resets
    lost_share: Fraction = 0.0  # share of calls that are never answered
    list_late_s: Range = (0.54, 3.4)  # how late a courier hears of a change of the list


class TrafficClassModel(StrictModel):
    """A class of messages."""

    name: Name
    share: Fraction
    work_ms: Range
    aim_s: PositiveFloat
    deadline_s: PositiveFloat
    effect: Literal["repeatable", "by_key", "once"]
    window_s: Annotated[float, Field(ge=0)] = 0.0
    in_order: bool = False
    worth: PositiveFloat = 1.0
    late_share: Fraction = 0.5


class TenantModel(StrictModel):
    """A tenant and its part of the quotas and of the traffic."""

    name: Name
    share: PositiveFloat
    offers: Annotated[float, Field(ge=0)] | None = None  # its part of the traffic; its share if not given


class FaultModel(StrictModel):
    """Something that goes wrong at `at_s` for `length_s`."""

    kind: Literal["crash", "silent", "errors", "shut", "burst", "restart", "kill", "drain", "replace"]
    at_s: Range
    length_s: Range = (8.0, 20.0)
    share: Range = (0.05, 0.24)  # of the traffic that the struck partners get; of couriers or endpoints else
    size: Range = (1.0, 1.0)  # errors: share that fails; burst: times the rate
    batch: Fraction = 0.3  # restarts: share of the couriers that are down at a time
    down_s: Range = (0.6, 1.5)
    clear: Literal["warm", "cold"] = "cold"


# As files give them.
DEFAULT_CLASSES: tuple[dict[str, Any], ...] = (
    {
        "name": "booking-change",
        "share": 0.40,
        "work_ms": [87.0, 150.0],
        "aim_s": 3.0,
        "deadline_s": 24.0,
        "effect": "by_key",
        "window_s": 25.0,
        "in_order": True,
        "worth": 1.0,
        "late_share": 0.5,
    },
    {
        "name": "status-update",
        "share": 0.31,
        "work_ms": [87.0, 150.0],
        "aim_s": 4.0,
        "deadline_s": 16.0,
        "effect": "repeatable",
        "worth": 2.0,
        "late_share": 0.5,
    },
    {
        "name": "payment",
        "share": 0.29,
        "work_ms": [130.0, 230.0],
        "aim_s": 2.0,
        "deadline_s": 20.0,
        "effect": "once",
        "worth": 5.0,
        "late_share": 0.3,
    },
)
CLASSES = tuple(TrafficClassModel.model_validate(one) for one in DEFAULT_CLASSES)
TEAMS = (
    TenantModel(name="north-circuit", share=0.45),
    TenantModel(name="south-valley", share=0.37),
    TenantModel(name="city-tours", share=0.18),
)


class FleetModel(StrictModel):
    """The whole model of a fleet."""

    length_s: Annotated[float, Field(gt=1, le=86_400)] = 55.0  # metrics count from the first second on
    traffic: TrafficModel = TrafficModel()
    partners: DestinationsModel = DestinationsModel()
    couriers: InstancesModel = InstancesModel()
    network: NetworkModel = NetworkModel()
    classes: Annotated[tuple[TrafficClassModel, ...], Field(alias="class", min_length=1)] = CLASSES
    teams: Annotated[tuple[TenantModel, ...], Field(alias="team", min_length=1)] = TEAMS
    troubles: Annotated[tuple[FaultModel, ...], Field(alias="trouble")] = ()

    # TOML gives lists and whole numbers; both are taken for what they stand for.
    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        self._check_shares()
        self._check_classes()
        for n, trouble in enumerate(self.troubles):
            if trouble.at_s[0] >= self.length_s:
                raise ValueError(f"trouble[{n}].at_s: the day is over by then")
        return self

    def _check_shares(self) -> None:
        groups: tuple[tuple[str, tuple[TrafficClassModel | TenantModel, ...]], ...]
        groups = (("class", self.classes), ("team", self.teams))
        for what, items in groups:
            total = sum(item.share for item in items)
            if abs(total - 1) > 0.001:
                raise ValueError(f"{what}: the shares sum to {total:g}, not to 1")
            names = [item.name for item in items]
            if len(set(names)) < len(names):
                raise ValueError(f"{what}: a name stands twice")

    def _check_classes(self) -> None:
        for n, one in enumerate(self.classes):
            if one.deadline_s < one.aim_s:
                raise ValueError(f"class[{n}].deadline_s: is under aim_s")
            if one.effect == "by_key" and not one.window_s:
                raise ValueError(f"class[{n}].window_s: effect by_key needs it above 0")
