"""A courier's configuration and endpoint entries in the platform's form, for tests and benchmarks."""

from os import PathLike
from typing import Any

SECOND_NS = 1_000_000_000
CLASS = {"aimNs": 3 * SECOND_NS, "deadlineNs": 24 * SECOND_NS, "group": "all", "lateShare": 0.5, "value": 1.0}
CLASSES = [
    CLASS | {"name": "booking-change", "effect": "by_key", "serialByKey": True, "windowNs": 25 * SECOND_NS},
    CLASS | {"name": "status-update", "effect": "repeatable", "windowNs": 5 * SECOND_NS},
    CLASS | {"name": "payment", "effect": "once", "windowNs": 5 * SECOND_NS},
]
POLICY_LIMITS = {
    "dialTimeoutNs": SECOND_NS,
    "keepaliveNs": 15 * SECOND_NS,
    "maxRetryAfterNs": 2 * SECOND_NS,
    "mostHeld": 100,
    "probes": True,
    "retryAfter": True,
    "sendCap": 6,
}
RULES = {"drainGraceNs": SECOND_NS // 4, "coldFrom": 0.2, "coldNs": 9 * SECOND_NS, "tipMultiple": 2.0}


def configuration(state: str | PathLike[str], **limits: Any) -> dict[str, Any]:
    """A courier's configuration.

    Args:
        state: Its state folder.
        limits: `disk_mb`, and fields of `policyLimits`, which replace the defaults.
    """
    disk_mb = limits.pop("disk_mb", 3)
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "state": str(state),
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": disk_mb},
        "known": {"seq": 1, "whole": True, "hosts": []},
        "settings": {
            "balancers": 2,
            "lanes": [dict(traffic_class) for traffic_class in CLASSES],
            "policyLimits": POLICY_LIMITS | limits,
            "projects": [{"name": "north", "quotaRps": 15.0, "share": 1.0}],
            "rules": dict(RULES),
            "shapes": ["big-partner"],
            "specifics": {"bundleMax": [1], "callsOut": 64, "kindApart": [False]},
            "weights": "nominal",
            "zones": ["addis"],
        },
    }


def host(id_: str, address: str, dest: int = 1, health: str = "ready") -> dict[str, Any]:
    """An entry of the platform's endpoint list."""
    return {
        "host": id_,
        "dial": address,
        "site": "addis",
        "class": "big-partner",
        "block": dest,
        "health": health,
        "share": 50.0,
        "born_ms": 0,
    }
