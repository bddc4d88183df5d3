"""The Unix times of the state folder, tied to the monotonic clock for as long as the machine runs.

The folder's records hold Unix times, since monotonic times mean nothing after a reboot. The wall clock may be
stepped, but deadlines, windows and waits are spans of real time. So the first process of a boot records
the offset between both clocks, and later ones of that boot use it again, whatever the wall clock says.

CLOCK_MONOTONIC goes on over restarts of the process. After a reboot no clock ran on: a new offset is taken,
and the recorded times are what the wall clock makes of them.
"""

import time
from pathlib import Path
from typing import NamedTuple

import orjson

from pinspread.core.log import log
from pinspread.core.time_units import NS_PER_US

FILE_NAME = "clock"  # in the state folder
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
STEP_LOGGED_US = 1_000_000  # a smaller difference between the clocks is no step


class TimeBase(NamedTuple):
    """What the folder knows of the clocks.

    Attributes:
        boot_id: The kernel's id of the boot.
        monotonic_us: Monotonic time when this was written.
        offset_us: Unix time minus monotonic time, as the folder's records have it.
    """

    boot_id: str
    monotonic_us: int
    offset_us: int


def adopt_offset(folder: str, offset_us: int) -> int:
    """Return the offset of the folder's times, and record it; only the folder's owner may call this.

    Args:
        folder: The state folder.
        offset_us: Unix time minus monotonic time by this process's clocks, in microseconds.
    """
    path = Path(folder) / FILE_NAME
    now = TimeBase(_boot_id(), time.monotonic_ns() // NS_PER_US, offset_us)
    known = _read(path)
    if known is not None and _same_clock(known, now):
        if abs(known.offset_us - offset_us) >= STEP_LOGGED_US:
            log("wall_clock_stepped", by_us=offset_us - known.offset_us)
        now = now._replace(offset_us=known.offset_us)
    _write(path, now)
    return now.offset_us


def _same_clock(known: TimeBase, now: TimeBase) -> bool:
    """Return whether monotonic time has run on since the file was written."""
    return bool(now.boot_id) and known.boot_id == now.boot_id and known.monotonic_us <= now.monotonic_us


def _boot_id() -> str:
    """Return the id of this boot, or "" if it is not known."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def _read(path: Path) -> TimeBase | None:
    try:
        boot_id, monotonic_us, offset_us = orjson.loads(path.read_bytes())
    except (OSError, ValueError, TypeError):
        return None  # there is no file yet, or it is damaged
    if isinstance(boot_id, str) and isinstance(monotonic_us, int) and isinstance(offset_us, int):
        return TimeBase(boot_id, monotonic_us, offset_us)
    return None


def _write(path: Path, base: TimeBase) -> None:
    replacement = path.with_suffix(".new")
    try:
        replacement.write_bytes(orjson.dumps(list(base)))
        replacement.rename(path)
    except OSError as error:
        log("clock_not_saved", error=str(error))
