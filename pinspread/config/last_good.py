"""Keeps a copy of the last usable configuration, for a start at which the configuration file is unusable.

Without the copy such a start would fail, and open messages would wait until an operator repairs the file.
"""

import zlib
from collections.abc import Mapping
from pathlib import Path

import orjson

from pinspread.config import settings
from pinspread.config.document import KeyKinds, key_kinds, without_nulls
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.log import log

FILE_NAME = "configuration.good"  # in the state folder; its format is stored data and must stay readable
MAX_DISK_FRACTION = 0.015  # of the folder's disk_bytes, for the copy and for its replacement each
EMPTY_LIST = {"seq": 0, "whole": True, "hosts": []}


def load_at_start(environment: Mapping[str, str]) -> EffectiveSettings:
    """Load the configuration at a start: the file, or the last good copy if the file is unusable.

    The file is also unusable if it lacks keys of the copy, as at a reload. If the copy is unusable too, such
    a file is better than none.

    Raises:
        SettingsError: Neither is usable; the text is about the file.
    """
    copy = _read_copy(environment)
    try:
        return settings.from_environment(environment, _key_kinds(copy))
    except SettingsError as error:
        loaded = _load(copy, environment)
        if loaded is None:
            return settings.from_environment(environment)
        log("configuration_unusable", error=str(error), instead=str(_path(environment["RELAY_STATE"])))
        return loaded


def _path(folder: str) -> Path:
    return Path(folder) / FILE_NAME


def _read_copy(environment: Mapping[str, str]) -> bytes:
    """Return the copy's JSON; empty if there is none."""
    folder = environment.get("RELAY_STATE")
    if not folder:
        return b""
    try:
        return zlib.decompress(_path(folder).read_bytes())
    except (OSError, zlib.error):
        return b""


def _key_kinds(copy: bytes) -> KeyKinds:
    try:
        document = orjson.loads(copy)
    except orjson.JSONDecodeError:
        return {}
    return dict(key_kinds(without_nulls(document))) if isinstance(document, dict) else {}


def _load(copy: bytes, environment: Mapping[str, str]) -> EffectiveSettings | None:
    try:
        return settings.parse(copy, environment)
    except SettingsError:
        pass
    try:
        # Earlier versions kept files whose endpoint list was incomplete. Discovery sends the current one.
        return settings.parse(orjson.dumps(orjson.loads(copy) | {"known": EMPTY_LIST}), environment)
    except (SettingsError, orjson.JSONDecodeError, TypeError):
        return None


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
    copy = _path(effective.state)
    new_copy = copy.with_suffix(".new")
    new_copy.write_bytes(packed)
    new_copy.rename(copy)
