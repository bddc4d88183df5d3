"""State machines of a handover: which of two processes owns the messages at each moment. No I/O, no clock.

`docs/daily.md` describes the steps. Each method takes an event and returns the step to perform next.
"""

from enum import Enum


class HandoverStep(Enum):
    """What the caller of a state machine is to do next."""

    WAIT = "wait"
    TRANSFER = "transfer"  # pause and send everything
    DECLINE = "decline"  # refuse, with the reason
    REACQUIRE_LOCK = "reacquire lock"  # release the lock and try to acquire it again
    RESUME = "resume"  # continue serving
    SHUT_DOWN = "shut down"  # do not hand over; finish and exit
    FINISH = "finish"  # report the outcomes of attempts still in flight, then exit
    TAKE_OVER = "take over"  # adopt the lock, read the journal
    SERVE = "serve"  # it owns the messages: confirm that, then serve
    REQUEST_SHUTDOWN = "request shutdown"  # ask the old process to exit, then recover from the journal
    GIVE_UP = "give up"  # exit; the old process continues serving


class SourceState(Enum):
    """The state of the old process; the values appear in the log."""

    SERVING = "serving"
    PAUSED = "at rest"
    HANDED_OVER = "given"
    SHUTTING_DOWN = "leaving"


class TargetState(Enum):
    """The state of the new process; the values appear in the log."""

    REQUESTING = "asking"
    RECEIVING = "collecting"
    TAKING_OVER = "taking"
    OWNER = "owner"
    WAITING_FOR_LOCK = "waiting for the lock"
    GIVEN_UP = "given up"


class HandoverSource:
    """The old process: it owns the messages until the new one has taken over, and pauses for the transfer.

    Attributes:
        shape: A fingerprint of the format of the state that this process sends; a new process can read the
            state only if its own fingerprint is equal.
        state: The state of the handover.
        decline_reason: Why the last request was declined.
    """

    def __init__(self, shape: str) -> None:
        self.shape = shape
        self.state = SourceState.SERVING
        self.decline_reason = ""

    @property
    def is_owner(self) -> bool:
        """Whether it may act: accept messages, start calls, write to the journal."""
        return self.state in (SourceState.SERVING, SourceState.SHUTTING_DOWN)

    def requested(self, shape: str) -> HandoverStep:
        """Handle a new process's request for the transfer; `shape` is the fingerprint that it can read."""
        if self.state is not SourceState.SERVING:
            self.decline_reason = f"busy: {self.state.value}"
            return HandoverStep.DECLINE
        if shape != self.shape:
            self.decline_reason = "its state has another shape"
            return HandoverStep.DECLINE
        self.state = SourceState.PAUSED
        return HandoverStep.TRANSFER

    def shutdown_requested(self) -> HandoverStep:
        """Handle a new process's request to exit: it can't take over the state, and waits for the lock."""
        if self.state is not SourceState.SERVING:
            return HandoverStep.WAIT
        self.state = SourceState.SHUTTING_DOWN
        return HandoverStep.SHUT_DOWN

    def taken_over(self) -> HandoverStep:
        """Handle the new process's confirmation that it owns the messages."""
        if self.state is not SourceState.PAUSED:
            return HandoverStep.WAIT  # a protocol error: nothing was transferred
        self.state = SourceState.HANDED_OVER
        return HandoverStep.FINISH

    def exchange_failed(self) -> HandoverStep:
        """Handle that the exchange ended early, was declined or timed out."""
        if self.state is SourceState.PAUSED:
            return HandoverStep.REACQUIRE_LOCK
        return HandoverStep.FINISH if self.state is SourceState.HANDED_OVER else HandoverStep.WAIT

    def lock_result(self, acquired: bool) -> HandoverStep:
        """Handle the result of reacquiring the lock; another process that holds it owns the messages."""
        # The lock has only one holder. If a confirmation decided instead, one that was sent but not received
        # would leave two owners.
        self.state = SourceState.SERVING if acquired else SourceState.HANDED_OVER
        return HandoverStep.RESUME if acquired else HandoverStep.FINISH


class HandoverTarget:
    """The new process: it owns nothing until it has the lock and has confirmed that it took over.

    Attributes:
        state: The state of the handover.
    """

    def __init__(self) -> None:
        self.state = TargetState.REQUESTING

    @property
    def is_owner(self) -> bool:
        """Whether it may act."""
        return self.state is TargetState.OWNER

    def request_sent(self) -> None:
        """Handle that the transfer was requested from the old process."""
        self.state = TargetState.RECEIVING

    def declined(self, retry: bool) -> HandoverStep:
        """Handle that the old process declines; `retry` says whether it may be asked again."""
        if retry:
            return HandoverStep.WAIT
        self.state = TargetState.WAITING_FOR_LOCK
        return HandoverStep.REQUEST_SHUTDOWN

    def received(self, readable: bool) -> HandoverStep:
        """Handle that the transfer is complete; `readable` says whether the state could be read."""
        if not readable:
            self.state = TargetState.WAITING_FOR_LOCK
            return HandoverStep.REQUEST_SHUTDOWN
        self.state = TargetState.TAKING_OVER
        return HandoverStep.TAKE_OVER

    def lock_received(self, journal_readable: bool) -> HandoverStep:
        """Handle that the lock was received; `journal_readable` says whether the journal could be read."""
        self.state = TargetState.OWNER if journal_readable else TargetState.GIVEN_UP
        return HandoverStep.SERVE if journal_readable else HandoverStep.GIVE_UP

    def exchange_failed(self) -> HandoverStep:
        """Handle that the exchange ended early: the old process has exited, or continues serving."""
        if self.state not in (TargetState.WAITING_FOR_LOCK, TargetState.GIVEN_UP):
            self.state = TargetState.REQUESTING  # the old process did not receive the confirmation
        return HandoverStep.WAIT
