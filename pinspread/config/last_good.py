"""Keeps a copy of the last usable configuration, for a start at which the configuration file is unusable.

Without the copy such a start would fail, and open messages would wait until an operator repairs the file.
"""

import zlib
from collections.abc import Mapping
from pathlib import Path

import orjson

from pinspread.config import settings
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.log import log

FILE_NAME = "configuration.good"  # in the state folder; its format is stored data and must stay readable
MAX_DISK_FRACTION = 0.015  # of the folder's disk_bytes, for the copy and for its replacement each


def load_at_start(environment: Mapping[str, str]) -> EffectiveSettings:
    """Load the configuration at a start: the file, or the last good copy if the file is unusable.

    Raises:
        SettingsError: Neither is usable; the text is about the file.
    """
    try:
        return settings.from_environment(environment)
    except SettingsError as error:
        copy = Path(environment.get("RELAY_STATE", "")) / FILE_NAME
        loaded = _load(copy, environment)
        if loaded is None:
            raise
        log("configuration_unusable", error=str(error), instead=str(copy))
        return loaded


def _load(copy: Path, environment: Mapping[str, str]) -> EffectiveSettings | None:
    try:
        raw = zlib.decompress(copy.read_bytes())
        loaded = settings.read(orjson.loads(raw), environment)
    except (OSError, ValueError, zlib.error):
        return None
    loaded.raw = raw
    return loaded


def save(effective: EffectiveSettings) -> None:
    """Save the settings in effect as the last good copy; a failure is only logged."""
    if not effective.raw:
        return  # from an application's file, which is not the platform's
    packed = zlib.compress(effective.raw)
    try:
        _write(packed, effective)
    except OSError as error:
        log("configuration_not_kept", error=str(error))


def _write(packed: bytes, effective: EffectiveSettings) -> None:
    if len(packed) > effective.disk_bytes * MAX_DISK_FRACTION:
        raise OSError(
            f"{len(packed)} bytes are more than {MAX_DISK_FRACTION:.1%} of {effective.disk_bytes} bytes"
        )
    copy = Path(effective.state) / FILE_NAME
    new_copy = copy.with_suffix(".new")
    new_copy.write_bytes(packed)
    new_copy.rename(copy)
