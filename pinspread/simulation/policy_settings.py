"""The settings of the policies in a simulated or real run."""

from collections.abc import Mapping
from typing import Any

from pinspread.policy.settings import DestinationKind, Idempotency, Settings, Tenant, TrafficClass
from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel, TrafficClassModel
from pinspread.simulation.policy_sources import SETTINGS_KEYS
from pinspread.simulation.scenario import Scenario, tenant_quotas

HANDSHAKE_PRICE = 0.02
DRAIN_GRACE_NS = SECOND // 4


def policy_settings(model: FleetModel, scenario: Scenario, replaced: Mapping[str, Any]) -> Settings:
    """Return the settings that follow from a model and a scenario.

    Args:
        model: The model.
        scenario: Supplies the drawn numbers of call slots and of held messages.
        replaced: Values that replace them for a variant, by key of experiment files or field of `Settings`.
    """
    instances, destinations = model.couriers, model.partners
    quotas = zip(model.teams, tenant_quotas(model), strict=True)
    settings: dict[str, Any] = {
        "classes": [_traffic_class(traffic_class) for traffic_class in model.classes],
        "kinds": [DestinationKind(), DestinationKind()],
        "max_concurrent_calls": scenario.max_concurrent_calls,
        "max_held_messages": scenario.max_held_messages,
        "max_attempts": instances.max_attempts,
        "senders": instances.count,
        "over_quota_weight": model.traffic.over_share_worth,
        "value_halves": True,
        "tenants": [Tenant(quota, tenant.share) for tenant, quota in quotas],
        "weights_known": True,
        "weights_exact": destinations.weights == 0,
        "health_checks_allowed": instances.probes,
        "retry_after_allowed": instances.max_come_back_s > 0,
        "max_retry_after_ns": int(instances.max_come_back_s * SECOND),
        "keepalive_ns": int(instances.keepalive_s * SECOND),
        "drain_grace_ns": DRAIN_GRACE_NS,
        "slow_start_fraction": destinations.cold_from,
        "slow_start_ns": int(destinations.warm_s * SECOND),
        "overload_multiple": destinations.fall_multiple,
        "handshake_price": HANDSHAKE_PRICE,
    }
    settings.update((SETTINGS_KEYS.get(key, key), value) for key, value in replaced.items())
    return Settings(**settings)


def _traffic_class(model: TrafficClassModel) -> TrafficClass:
    return TrafficClass(
        latency_objective_ns=int(model.aim_s * SECOND),
        deadline_ns=int(model.deadline_s * SECOND),
        effect=Idempotency(model.effect),
        deduplication_window_ns=int(model.window_s * SECOND),
        late_value_share=model.late_share,
        priority_weight=model.worth,
        in_order=model.in_order,
    )
