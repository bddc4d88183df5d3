"""One application's configuration file, and the settings of a node that come from it.

The file is TOML. Off the platform it says all that the platform would tell a node.
"""

import os
import tomllib
from typing import Any

from pinspread.config import settings
from pinspread.config.checks import problems
from pinspread.config.models import Class, File
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.time_units import NS_PER_S

# What a file does not say. A destination that was out has a fifth of its capacity at first, all of it 9 s
# later, and is overloaded at twice what it has; an endpoint takes nothing new 250 ms after its drain was
# notified.
_RULES = {
    "drainGraceNs": NS_PER_S // 4,
    "coldFrom": 0.2,
    "coldNs": 9 * NS_PER_S,
    "tipMultiple": 2.0,
}


def load(path: str) -> File:
    """A file that is well; SettingsError with all problems otherwise."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    found = problems(text)
    if found:
        raise SettingsError("\n".join(f"{path}: {line}" for line in found))
    return File.model_validate(tomllib.loads(text))


def effective_settings(file: File, seed: int) -> EffectiveSettings:
    """A node's settings from its application's file, by way of the platform's form.

    Args:
        file: A file that is well.
        seed: Of the node's random numbers.
    """
    document = {
        "name": file.application.name,
        "listen": file.listen.resp,
        "admin_addr": file.listen.admin,
        "discovery": notification_address(file),
        "state": file.journal.folder,
        "seed": f"{seed:x}",
        "limits": {"disk_mb": file.journal.disk_mb},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": _platform_settings(file),
    }
    return settings.read(document, {})


def random_seed() -> int:
    """A seed that no other node has."""
    return int.from_bytes(os.urandom(8))


def notification_address(file: File) -> str:
    """Where final results are sent; empty if the file does not say."""
    return file.notices.address if file.notices else ""


def _platform_settings(file: File) -> dict[str, Any]:
    limits = file.limits
    return {
        "balancers": limits.couriers,
        "lanes": [_lane(one) for one in file.classes],
        "projects": [
            {"name": tenant.name, "quotaRps": tenant.quota_per_s, "share": tenant.share}
            for tenant in file.tenants
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
        "rules": _RULES,
        "policyLimits": {
            "mostHeld": limits.most_held,
            "sendCap": limits.max_attempts,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfterNs": _nanoseconds(limits.max_come_back_s),
            "dialTimeoutNs": _nanoseconds(limits.dial_s),
            "keepaliveNs": _nanoseconds(limits.keepalive_s),
        },
    }


def _lane(one: Class) -> dict[str, Any]:
    return {
        "name": one.name,
        "aimNs": _nanoseconds(one.aim_s),
        "deadlineNs": _nanoseconds(one.deadline_s),
        "effect": one.effect,
        "group": "all",
        "windowNs": _nanoseconds(one.window_s),
        "serialByKey": one.in_order,
        "value": one.worth,
        "lateShare": one.late_share,
    }


def _nanoseconds(seconds: float) -> int:
    return int(seconds * NS_PER_S)
