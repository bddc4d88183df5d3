"""The configuration that the platform would write for a courier of a model and a scenario."""

import time
from typing import Any

from pinspread.policy.settings import Settings
from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel, TrafficClassModel
from pinspread.simulation.random_streams import random_seed
from pinspread.testbed.platform_run import PlatformRun

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}


def courier_configuration(
    run: PlatformRun, number: int, endpoints: dict[str, Any], state: str
) -> dict[str, Any]:
    """A courier's configuration, in the platform's form.

    Args:
        run: The run, with the settings of all couriers.
        number: The courier's number.
        endpoints: Its initial endpoint list.
        state: Its state folder.
    """
    return {
        "name": f"n{number}",
        "listen": run.addresses.courier(number),
        "discovery": run.addresses.platform(number),
        "state": state,
        "seed": f"{random_seed(run.scenario.seed, 'module', number, time.time_ns()):x}",
        "limits": dict(LIMITS),
        "known": endpoints,
        "settings": _settings(run.model, run.settings),
    }


def _settings(model: FleetModel, settings: Settings) -> dict[str, Any]:
    return {
        "balancers": settings.senders,
        "lanes": [_traffic_class(traffic_class) for traffic_class in model.classes],
        "policyLimits": _policy_limits(model, settings),
        "overShareWorth": settings.over_quota_weight,
        "prices": {"handshake": settings.handshake_price},
        "projects": [
            {"name": team.name, "quotaRps": tenant.quota_per_s, "share": tenant.share}
            for team, tenant in zip(model.teams, settings.tenants, strict=True)
        ],
        "rules": {
            "drainGraceNs": settings.drain_grace_ns,
            "coldFrom": settings.slow_start_fraction,
            "coldNs": settings.slow_start_ns,
            "tipMultiple": settings.overload_multiple,
        },
        "shapes": ["big", "small"],
        "specifics": {
            "bundleMax": [1, 1],
            "callsOut": settings.max_concurrent_calls,
            "kindApart": [False, False],
            "late": "halves",
        },
        "weights": "nominal" if settings.weights_exact else "rough",
        "zones": ["local"],
    }


def _traffic_class(traffic_class: TrafficClassModel) -> dict[str, Any]:
    return {
        "name": traffic_class.name,
        "aimNs": int(traffic_class.aim_s * SECOND),
        "deadlineNs": int(traffic_class.deadline_s * SECOND),
        "effect": traffic_class.effect,
        "group": "all",
        "windowNs": int(traffic_class.window_s * SECOND),
        "serialByKey": traffic_class.in_order,
        "value": traffic_class.worth,
        "lateShare": traffic_class.late_share,
    }


def _policy_limits(model: FleetModel, settings: Settings) -> dict[str, Any]:
    return {
        "dialTimeoutNs": int(model.couriers.dial_s * SECOND),
        "keepaliveNs": settings.keepalive_ns,
        "maxRetryAfterNs": settings.max_retry_after_ns,
        "mostHeld": settings.max_held_messages,
        "probes": settings.health_checks_allowed,
        "retryAfter": settings.retry_after_allowed,
        "sendCap": settings.max_attempts,
    }
