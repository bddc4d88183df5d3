"""The model of a fleet: the parameters that scenarios are drawn from, as given in experiment files.

The names of the fields are keys of those files and stay; the defaults are the published figures of the site
addis-office. A list of two numbers is a range that each seed draws from; a single number is used as it is.
"""

from typing import TYPE_CHECKING, Annotated, Any, Literal, Self

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator


class StrictModel(BaseModel):
    """A table of the file; unknown names and values of another type are errors."""

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
    # The type after validation; files give one number or a list of two.
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

    rate_per_s: PositiveFloat = 31.0  # mean rate of all clients' first submissions
    # That rate as a share of full load, from which call slots, message capacity and rate limits follow.
    load: PositiveFloat = 0.75
    zipf: Range = (0.8, 1.15)  # exponent of the destinations' shares of the traffic
    swing: Range = (0.2, 0.35)  # amplitude of a slow wave, as a share of the mean rate
    clump_share: Range = (0.05, 0.18)  # share of the messages that arrive in clumps for one destination
    clump_s: Range = (1.3, 2.9)  # size of a clump, in seconds of its destination's capacity
    key_life_s: Range = (5.0, 15.0)
    key_gap_s: Range = (0.4, 2.0)  # time between messages of one key
    courier_skew: Range = (0.2, 0.4)  # coefficient of variation of the instances' shares of the traffic
    retries: Annotated[int, Field(ge=0, le=10)] = 2  # how often a client resubmits a rejected message
    backoff_s: Range = (0.47, 1.4)  # wait before the first retry without a Retry-After; doubles each time
    honour: Fraction = 0.64  # share of the clients that heed a Retry-After
    over_share_worth: Fraction = 0.2


class DestinationsModel(StrictModel):
    """The destinations that messages go to."""

    endpoints: Annotated[int, Field(ge=1, le=200_000)] = 25
    per_partner: Range = (1.0, 4.0)
    mean_per_partner: PositiveFloat = 1.75
    work: Literal["lognormal", "exponential"] = "lognormal"
    work_spread: PositiveFloat = 0.5  # sigma of the log-normal distribution
    pace: Range = (0.5, 2.0)  # factor of a destination for the work of a class
    least_cores: Annotated[int, Field(ge=1)] = 2
    headroom: Range = (1.1, 2.3)  # capacity as a multiple of the calls at full load
    least_per_s: Range = (2.2, 4.9)
    queue_s: PositiveFloat = 2.0  # queue limit of an endpoint, in seconds of its capacity
    big_share: Fraction = 0.33
    big_headroom: Range = (0.98, 2.3)  # rate limit as a multiple of the calls at full load
    big_least_per_s: Range = (1.8, 4.2)
    big_span_s: Range = (1.0, 2.0)
    big_tells: Range = (0.5, 0.95)
    small_tells: Range = (0.0065, 0.6)  # share of rejections in a fault `shut` with Retry-After
    refused_count: Fraction = 0.5  # share of the seeds with which rejected calls use up the limit too
    table: Range = (2.3, 3.4)  # connection limit of a small destination's endpoint, per core
    least_table: Range = (6.1, 16.0)
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    warm_s: PositiveFloat = 9.0
    fall_multiple: PositiveFloat = 2.0
    fall_s: PositiveFloat = 1.5
    fall_slack: Annotated[float, Field(ge=0)] = 4.0  # calls that chance may add during a warm-up
    weights: Fraction = 0.0  # relative error of the listed rates; 0: the couriers know that they are exact


class InstancesModel(StrictModel):
    """The instances. A variant replaces further settings of the policy in its table `settings`."""

    count: Annotated[int, Field(ge=1, le=5000)] = 3
    slots: Range = (2.0, 2.4)  # call slots over its mean calls in flight at full load
    least_slots: Annotated[int, Field(ge=1)] = 2
    hold_s: Range = (6.4, 13.0)
    least_held: Annotated[int, Field(ge=1)] = 8
    max_attempts: Annotated[int, Field(ge=1, le=6)] = 6
    keepalive_s: PositiveFloat = 15.0
    dial_s: PositiveFloat = 1.0
    max_come_back_s: Annotated[float, Field(ge=0)] = 2.0
    probes: bool = True
    start_spread_s: Annotated[float, Field(ge=0)] = 0.5
    boot_s: Range = (0.17, 0.28)  # from a start to PONG: minimum and maximum of 21 starts on loopback
    resume: bool = True  # the journal survives a restart; else accepted messages are lost


class NetworkModel(StrictModel):
    """The network between instances and destinations; delays are one-way."""

    delay_ms: Range = (5.0, 15.0)
    jitter: Fraction = 0.2
    handshake_ms: Annotated[float, Field(ge=0)] = 2.0  # work of an endpoint for a new connection
    full_table: Literal["busy", "refused"] = "busy"  # over the limit; busy: a 503, as the protocol says
    silent_accepts: bool = False  # a silent endpoint's kernel still accepts connections, as on loopback
    reset_share: Fraction = 0.0  # share of calls on reused connections that end in a reset
    lost_share: Fraction = 0.0  # share of calls that are never answered
    list_late_s: Range = (0.54, 3.4)  # delay until a courier learns of a change of the endpoint list


class TrafficClassModel(StrictModel):
    """A traffic class."""

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
    """A tenant and its share of the quotas and of the traffic."""

    name: Name
    share: PositiveFloat
    offers: Annotated[float, Field(ge=0)] | None = None  # its share of the traffic; `share` if not given


class FaultModel(StrictModel):
    """A fault that begins at `at_s` and lasts for `length_s`."""

    kind: Literal["crash", "silent", "errors", "shut", "burst", "restart", "kill", "drain", "replace"]
    at_s: Range
    length_s: Range = (8.0, 20.0)
    share: Range = (0.05, 0.24)  # outages: of the traffic; other faults: of the couriers or endpoints
    size: Range = (1.0, 1.0)  # errors: share of calls that fail; burst: factor of the rate
    batch: Fraction = 0.3  # restarts: share of the couriers that are down at a time
    down_s: Range = (0.6, 1.5)
    clear: Literal["warm", "cold"] = "cold"


# As experiment files give them.
DEFAULT_CLASS_TABLES: tuple[dict[str, Any], ...] = (
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
DEFAULT_CLASSES = tuple(TrafficClassModel.model_validate(fields) for fields in DEFAULT_CLASS_TABLES)
DEFAULT_TENANTS = (
    TenantModel(name="north-circuit", share=0.45),
    TenantModel(name="south-valley", share=0.37),
    TenantModel(name="city-tours", share=0.18),
)


class FleetModel(StrictModel):
    """The whole model of a fleet."""

    length_s: Annotated[float, Field(gt=1, le=86_400)] = 55.0  # metrics ignore the first second
    traffic: TrafficModel = TrafficModel()
    partners: DestinationsModel = DestinationsModel()
    couriers: InstancesModel = InstancesModel()
    network: NetworkModel = NetworkModel()
    classes: Annotated[tuple[TrafficClassModel, ...], Field(alias="class", min_length=1)] = DEFAULT_CLASSES
    teams: Annotated[tuple[TenantModel, ...], Field(alias="team", min_length=1)] = DEFAULT_TENANTS
    troubles: Annotated[tuple[FaultModel, ...], Field(alias="trouble")] = ()

    # Not strict: TOML gives lists where tuples are wanted, and integers where floats are.
    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        self._check_shares()
        self._check_classes()
        for n, trouble in enumerate(self.troubles):
            if trouble.at_s[0] >= self.length_s:
                raise ValueError(
                    f"trouble[{n}].at_s: {trouble.at_s[0]:g} is not before the run's end, {self.length_s:g}"
                )
        return self

    def _check_shares(self) -> None:
        groups: tuple[tuple[str, tuple[TrafficClassModel | TenantModel, ...]], ...]
        groups = (("class", self.classes), ("team", self.teams))
        for key, items in groups:
            total = sum(item.share for item in items)
            if abs(total - 1) > 0.001:
                raise ValueError(f"{key}: the shares sum to {total:g}, not to 1")
            names = [item.name for item in items]
            if len(set(names)) < len(names):
                raise ValueError(f"{key}: a name occurs more than once")

    def _check_classes(self) -> None:
        for n, entry in enumerate(self.classes):
            if entry.deadline_s < entry.aim_s:
                raise ValueError(
                    f"class[{n}].deadline_s: must be at least aim_s {entry.aim_s:g}, not {entry.deadline_s:g}"
                )
            if entry.effect == "by_key" and not entry.window_s:
                raise ValueError(f"class[{n}].window_s: must be above 0 for effect by_key")
