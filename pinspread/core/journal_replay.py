"""What the records of a message's progress change in the message. No I/O."""

from pinspread.core.journal_records import (
    AttemptEnded,
    AttemptStarted,
    AttemptZone,
    FinalResultDecided,
    Progress,
    ProgressRecord,
)
from pinspread.core.messages import Message


def apply_progress(message: Message, record: ProgressRecord) -> None:
    """Apply a record other than that of the message's end."""
    match record:
        case AttemptStarted(_, attempt, unix_us):
            # An attempt that was in flight when the process was killed has no record of its end. Without
            # this, the next attempt's record would hide that the earlier one may have run.
            message.may_have_run_unix_us = message.may_have_run_unix_us or message.in_flight_since_unix_us
            message.attempts = max(message.attempts, attempt + 1)
            message.in_flight_since_unix_us = unix_us
        case AttemptEnded(_, _, may_have_run):
            end_attempt(message, may_have_run)
        case FinalResultDecided(_, result):
            message.final = result
        case Progress(_, attempts, may_have_run_unix_us, in_flight_since_unix_us):
            message.attempts = attempts
            message.may_have_run_unix_us = may_have_run_unix_us
            message.in_flight_since_unix_us = in_flight_since_unix_us
        case AttemptZone(_, zone):
            message.zone = zone


def end_attempt(message: Message, may_have_run: bool) -> None:
    """Note in a message that its attempt in flight has ended."""
    if may_have_run and not message.may_have_run_unix_us:
        message.may_have_run_unix_us = message.in_flight_since_unix_us
    message.in_flight_since_unix_us = 0
