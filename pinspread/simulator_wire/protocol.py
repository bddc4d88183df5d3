"""The codes, headers and limits of the simulator's wire."""

import struct
from enum import IntEnum

from pinspread.errors import PinspreadError

BATCH_HEADER = struct.Struct(">IIQ")  # number of records, size in bytes, time in nanoseconds
REPLY_HEADER = struct.Struct(">II")  # size in bytes, number of records
MAX_BATCH_BYTES = 1 << 30  # far larger than any valid batch


class EventCode(IntEnum):
    """The codes of the records in a batch; the names are the simulator's."""

    CONFIGURE = 0
    FLEET = 1
    JOB_IN = 2
    STARTED = 3
    RESULT = 4
    HANGUP = 5
    WAKEUP = 6
    HEALTH = 7
    NEIGHBOUR_SAYS = 8
    KILLED = 9
    SNAPSHOT_ROWS = 10
    ON = 11


class ActionCode(IntEnum):
    """The codes of the records in a reply."""

    SEND = 1
    SUBSCRIBE = 2
    CHECK_HEALTH = 4
    REJECT = 6
    ON = 7
    SET_TIMER = 8
    FAULT = 9
    FAIL = 10
    DISCONNECT = 11


class WireError(PinspreadError, ValueError):
    """The input does not follow the protocol."""
