"""Scenarios of the recorded sites."""

from dataclasses import dataclass, replace

from pinspread.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    Settings,
    TrafficClass,
)

MS, SECOND = 1_000_000, 1_000_000_000
# The faults that a destination may have; `SimulatedCalls` defines their effects.
FAULTS = (
    "refusing",
    "silent",
    "errors",
    "resets",
    "shut",
    "limited",
    "jammed",
    "lossy",
    "full",
    "slow",
    "barred",
)


@dataclass(frozen=True)
class SiteScenario:
    """Parameters of one site; times are in seconds, shares range from 0 to 1."""

    name: str
    settings: Settings
    seed: int
    turns: int
    faults: tuple[str, ...] = FAULTS
    rate: float = 25.0  # messages a second
    calm_s: float = 2.0  # mean time between faults
    fault_s: float = 4.0  # maximum duration of a fault
    named: bool = False  # endpoint ids are addresses rather than numbers
    healthy_check_share: float = 0.6  # share of health checks that succeed while calls get errors
    list_s: float = 1.5  # mean time between changes of the endpoint list
    recovered: int = 0  # number of messages recovered by a restart
    reports_limit: bool = False  # whether answers carry load reports
    changes: tuple[tuple[float, Settings], ...] = ()  # new settings, and the time at which they take effect
    skew: float = 1.0  # shape of the Pareto distribution of messages over destinations
    kinds: tuple[int, ...] = (0, 0, 1, 2, 3, 9)  # kinds of the destinations, repeated in turn
    keys: int = 9  # number of ordering keys of a destination, plus one
    loss: float = 0.0  # share of the calls to all destinations that are never answered
    reports_opened: bool = True  # whether outcomes report that a connection was opened


CLASSES = [
    TrafficClass(4 * SECOND, 20 * SECOND, late_value_share=0.3),
    TrafficClass(
        3 * SECOND, 20 * SECOND, Idempotency.WITH_KEY, DeduplicationScope.ALL, 10 * SECOND, 0.5, 2.0, True
    ),
    TrafficClass(
        2 * SECOND, 12 * SECOND, Idempotency.NOT_IDEMPOTENT, late_value_share=0.1, priority_weight=5.0
    ),
    TrafficClass(2 * SECOND, 9 * SECOND, in_order=True),
    TrafficClass(
        4 * SECOND, 15 * SECOND, Idempotency.WITH_KEY, DeduplicationScope.ZONE, 6 * SECOND, 0.3, 1.5
    ),
    TrafficClass(SECOND, 3 * SECOND, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2 * SECOND, 0.0, 0.5),
    TrafficClass(SECOND, 6 * SECOND, Idempotency.NOT_IDEMPOTENT, late_value_share=0.2, in_order=True),
]
KINDS = [
    DestinationKind(),
    DestinationKind(max_bundle_size=3),
    DestinationKind(limits_per_endpoint=True),
    DestinationKind(True, 2),
]
BASE = Settings(
    CLASSES, KINDS, max_concurrent_calls=8, max_held_messages=40, max_attempts=6, retry_after_allowed=True, max_retry_after_ns=2 * SECOND,
    keepalive_ns=4 * SECOND, slow_start_fraction=0.25, slow_start_ns=6 * SECOND, overload_multiple=2.0, ordering_pause_ns=300 * MS,
    health_checks_allowed=True, handshake_price=0.02, weights_known=True, weights_exact=True,
)  # fmt: skip
POLLED = replace(
    BASE, polled_discovery=True, max_poll_interval_ns=5 * SECOND, value_halves=True, cross_zone_price=0.05, cancellation_allowed=True,
    zone=1, zone_fees=[0.0, 0.4], weights_exact=False, slow_start_ns=13 * SECOND,
)  # fmt: skip


def site_scenarios():
    """Yield all scenarios: both base settings with several fleet sizes, then scenarios for single features."""
    for shape, base in (("first", BASE), ("second", POLLED)):
        for senders in (1, 4, 40, 250):
            settings = replace(base, senders=senders)
            reports = senders in (4, 250)
            yield SiteScenario(f"{shape}-{senders}", settings, senders, 900, reports_limit=reports)
    no_weights = replace(
        BASE,
        weights_known=False,
        senders=40,
        health_checks_allowed=False,
        retry_after_allowed=False,
    )
    yield SiteScenario("no-weights", no_weights, 21, 800)
    yield SiteScenario(
        "limits", replace(BASE, senders=12), 22, 800, ("limited", "jammed", "shut"), reports_limit=True
    )
    yield SiteScenario(
        "limits-few",
        replace(BASE, max_concurrent_calls=20),
        23,
        800,
        ("limited", "jammed"),
        40.0,
        reports_limit=True,
    )
    yield SiteScenario(
        "limits-many",
        replace(BASE, senders=300),
        24,
        800,
        ("limited", "jammed", "shut"),
        12.0,
        reports_limit=True,
    )
    yield SiteScenario("tables", replace(BASE, senders=60), 25, 900, ("full",), 20.0, calm_s=0.5, fault_s=8.0)
    yield SiteScenario(
        "tables-untold", replace(POLLED, senders=30), 26, 900, ("refusing", "full"), 20.0, calm_s=0.5
    )
    yield SiteScenario("lossy", BASE, 27, 800, ("lossy", "silent", "slow"), 40.0, fault_s=8.0)
    yield SiteScenario(
        "errors",
        replace(BASE, max_concurrent_calls=16),
        28,
        800,
        ("errors", "resets"),
        fault_s=6.0,
        healthy_check_share=0.9,
    )
    yield SiteScenario(
        "overload",
        replace(POLLED, max_held_messages=12, max_concurrent_calls=3),
        29,
        800,
        ("slow", "silent"),
        60.0,
    )
    yield SiteScenario("restart", BASE, 31, 700, recovered=30)
    yield SiteScenario("restart-full", replace(BASE, max_held_messages=10), 34, 500, recovered=40)
    yield SiteScenario("restart-second", replace(POLLED, senders=80), 32, 700, recovered=38)
    yield SiteScenario("named", replace(POLLED, senders=5), 33, 700, named=True)
    yield SiteScenario("churn", replace(BASE, slow_start_ns=SECOND), 34, 800, list_s=0.15, fault_s=2.0)
    yield SiteScenario(
        "churn-many", replace(BASE, senders=40), 35, 800, ("refusing", "silent", "shut"), list_s=0.2
    )
    yield SiteScenario("quiet", replace(BASE, senders=200), 36, 600, rate=1.5, calm_s=8.0, fault_s=20.0)
    yield SiteScenario(
        "barred", replace(BASE, health_checks_allowed=True), 37, 600, ("barred", "errors"), fault_s=6.0
    )
    yield SiteScenario("plain", Settings(CLASSES[:], [DestinationKind()], 4, 30, 3), 38, 600)
    changes = (
        (4, replace(BASE, senders=40, max_concurrent_calls=4)),
        (9, replace(POLLED, senders=2, max_held_messages=15)),
        (
            14,
            replace(
                BASE,
                classes=[replace(traffic_class, priority_weight=1.0) for traffic_class in CLASSES],
                slow_start_ns=0,
                keepalive_ns=0,
            ),
        ),
        (19, replace(BASE, senders=250, weights_known=False, max_attempts=2)),
    )
    yield SiteScenario("changes", BASE, 39, 900, changes=changes)
    many_keys = replace(BASE, classes=[CLASSES[3], CLASSES[1]], kinds=[DestinationKind(max_bundle_size=16)], max_concurrent_calls=16,
                   max_held_messages=500, slow_start_ns=SECOND, senders=2)  # fmt: skip
    yield SiteScenario("many-keys", many_keys, 41, 1200, ("slow",), 300.0, loss=0.3, kinds=(0,), keys=900)
    large_bundles = replace(
        BASE, kinds=[DestinationKind(max_bundle_size=6)], slow_start_ns=SECOND, max_held_messages=120
    )
    yield SiteScenario(
        "bundles-limited", large_bundles, 47, 900, ("limited", "jammed", "shut"), 60.0, fault_s=9.0
    )
    routes = replace(BASE, senders=5, zone_fees=[0.1, 0.0], weights_exact=False)
    yield SiteScenario(
        "routes", routes, 42, 900, ("limited", "jammed"), 40.0, fault_s=8.0, reports_limit=True, kinds=(2, 3)
    )
    yield SiteScenario("routes-troubled", replace(routes, senders=1), 43, 800, kinds=(2, 3))
    yield SiteScenario(
        "bundles",
        replace(BASE, max_concurrent_calls=4),
        44,
        900,
        ("errors", "refusing", "silent"),
        50.0,
        kinds=(1, 3),
    )
    yield SiteScenario(
        "few-places",
        replace(BASE, max_held_messages=4, max_concurrent_calls=20),
        45,
        600,
        ("slow", "silent"),
        40.0,
    )
    not_idempotent = replace(BASE, senders=3, classes=[CLASSES[2], CLASSES[6]], slow_start_ns=2 * SECOND)
    yield SiteScenario(
        "probes",
        not_idempotent,
        46,
        800,
        ("errors", "barred", "errors"),
        20.0,
        fault_s=9.0,
        healthy_check_share=0.3,
    )
    opened_unreported = replace(BASE, senders=8, max_concurrent_calls=20)
    yield SiteScenario(
        "tables-cleared",
        opened_unreported,
        50,
        1200,
        ("full",),
        40.0,
        6.0,
        kinds=(0,),
        skew=3.0,
        reports_opened=False,
    )
    yield SiteScenario("one-destination", replace(BASE, senders=6), 40, 800, skew=6.0, rate=40.0)
