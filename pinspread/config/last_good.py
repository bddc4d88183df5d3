"""The copy of the last configuration that could be used, for a start that finds the file broken.

Without it, such a start would end, and all that is owed would wait for staff.
"""

import zlib
from collections.abc import Mapping
from pathlib import Path

import orjson

from pinspread.config import settings
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.log import log

FILE_NAME = "configuration.good"  # in the state folder; its content is stored data
MAX_DISK_FRACTION = 0.015  # of the folder's room, for each of the file and the one that replaces it


def load_at_start(environment: Mapping[str, str]) -> EffectiveSettings:
    """The configuration at a start: the file, or the last good one where that is broken.

    Raises:
        SettingsError: Neither can be used; the text is about the file.
    """
    try:
        return settings.from_environment(environment)
    except SettingsError as error:
        copy = Path(environment.get("RELAY_STATE", "")) / FILE_NAME
        found = _load(copy, environment)
        if found is None:
            raise
        log("configuration_unusable", error=str(error), instead=str(copy))
        return found


def _load(copy: Path, environment: Mapping[str, str]) -> EffectiveSettings | None:
    try:
        raw = zlib.decompress(copy.read_bytes())
        found = settings.read(orjson.loads(raw), environment)
    except (OSError, ValueError, zlib.error):
        return None
    found.raw = raw
    return found


def save(effective: EffectiveSettings) -> None:
    """Keep what is in force; where there is no room, only the log says so."""
    if not effective.raw:
        return  # an application's file, which is no platform's
    packed = zlib.compress(effective.raw)
    try:
        _write(packed, effective)
    except OSError as error:
        log("configuration_not_kept", error=str(error))


def _write(packed: bytes, effective: EffectiveSettings) -> None:
    if len(packed) > effective.disk_bytes * MAX_DISK_FRACTION:
        raise OSError(f"{len(packed)} bytes are not kept")
    copy = Path(effective.state) / FILE_NAME
    new_copy = copy.with_suffix(".new")
    new_copy.write_bytes(packed)
    new_copy.rename(copy)
