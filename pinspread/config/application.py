"""One application's configuration file, and the node's settings derived from it.

The file is TOML. A node that runs without the platform reads from it everything that the platform would
provide.
"""

import os
import tomllib
from typing import Any

from pinspread.config import settings
from pinspread.config.checks import problems
from pinspread.config.document import key_kinds
from pinspread.config.models import Class, File
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.time_units import NS_PER_S

# Settings that an application's file does not have. A destination that comes back after an outage starts at a
# fifth of its capacity, has all of it after 9 s, and is overloaded at twice its capacity. An endpoint accepts
# nothing new from 250 ms after its drain was notified.
_RULES = {
    "drainGraceNs": NS_PER_S // 4,
    "coldFrom": 0.2,
    "coldNs": 9 * NS_PER_S,
    "tipMultiple": 2.0,
}


def load(path: str) -> File:
    """Read and validate a file.

    Raises:
        SettingsError: The file cannot be read or is invalid; the text lists all problems.
    """
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    problem_lines = problems(text)
    if problem_lines:
        raise SettingsError("\n".join(f"{path}: {line}" for line in problem_lines))
    return File.model_validate(tomllib.loads(text))


def effective_settings(file: File, seed: int) -> EffectiveSettings:
    """Convert an application's file to the platform's format, and read the node's settings from that.

    Args:
        file: A valid file.
        seed: The seed of the node's random numbers.
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
    effective = settings.read(document, {})
    effective.key_kinds = dict(key_kinds(file.model_dump(exclude_unset=True, exclude_none=True)))
    return effective


def random_seed() -> int:
    """A random 64-bit seed, so that nodes have different ones."""
    return int.from_bytes(os.urandom(8))


def notification_address(file: File) -> str:
    """The address to which final results are sent; empty if the file has none."""
    return file.notices.address if file.notices else ""


def _platform_settings(file: File) -> dict[str, Any]:
    limits = file.limits
    return {
        "balancers": limits.couriers,
        "lanes": [_lane(message_class) for message_class in file.classes],
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


def _lane(message_class: Class) -> dict[str, Any]:
    return {
        "name": message_class.name,
        "aimNs": _nanoseconds(message_class.aim_s),
        "deadlineNs": _nanoseconds(message_class.deadline_s),
        "effect": message_class.effect,
        "group": "all",
        "windowNs": _nanoseconds(message_class.window_s),
        "serialByKey": message_class.in_order,
        "value": message_class.worth,
        "lateShare": message_class.late_share,
    }


def _nanoseconds(seconds: float) -> int:
    return int(seconds * NS_PER_S)
