"""Ownership during a hand-over between two processes: who owns the messages at each moment. No I/O, no clock.

`docs/daily.md` has the steps. Each state machine takes what happened and returns what to do next.
"""

from enum import Enum


class HandoverStep(Enum):
    """What the side that asked its state machine is to do now."""

    WAIT = "wait"
    TRANSFER = "transfer"  # pause and send everything
    DECLINE = "decline"  # refuse, with the reason
    REACQUIRE_LOCK = "reacquire lock"  # release the lock and ask for it again
    RESUME = "resume"  # go on serving
    SHUT_DOWN = "shut down"  # hand nothing over, finish and end
    FINISH = "finish"  # report what is still in flight, then end
    TAKE_OVER = "take over"  # adopt the lock, read the journal
    SERVE = "serve"  # it owns everything: say so, then act
    REQUEST_SHUTDOWN = "request shutdown"  # have the old process end, and recover from the journal
    GIVE_UP = "give up"  # end; the old process goes on serving


class SourceState(Enum):
    """Where the old process stands; the values are the words of the log."""

    SERVING = "serving"
    PAUSED = "at rest"
    HANDED_OVER = "given"
    SHUTTING_DOWN = "leaving"


class TargetState(Enum):
    """Where the new process stands; the values are the words of the log."""

    REQUESTING = "asking"
    RECEIVING = "collecting"
    TAKING_OVER = "taking"
    OWNER = "owner"
    WAITING_FOR_LOCK = "waiting for the lock"
    GIVEN_UP = "given up"


class HandoverSource:
    """The old process: owner until the new one reports that it took over, and paused during the transfer.

    Attributes:
        shape: A fingerprint of the state that this process would send; only an equal one can be read.
        state: Where the hand-over stands.
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
        """A new process, which reads states of this shape, asks for everything."""
        if self.state is not SourceState.SERVING:
            self.decline_reason = f"busy: {self.state.value}"
            return HandoverStep.DECLINE
        if shape != self.shape:
            self.decline_reason = "its state has another shape"
            return HandoverStep.DECLINE
        self.state = SourceState.PAUSED
        return HandoverStep.TRANSFER

    def shutdown_requested(self) -> HandoverStep:
        """A new process can't take over as things are, and wants the lock."""
        if self.state is not SourceState.SERVING:
            return HandoverStep.WAIT
        self.state = SourceState.SHUTTING_DOWN
        return HandoverStep.SHUT_DOWN

    def taken_over(self) -> HandoverStep:
        """The new process says that it owns everything."""
        if self.state is not SourceState.PAUSED:
            return HandoverStep.WAIT  # malformed: nothing was transferred
        self.state = SourceState.HANDED_OVER
        return HandoverStep.FINISH

    def exchange_failed(self) -> HandoverStep:
        """The exchange ended early, was declined or took too long."""
        if self.state is SourceState.PAUSED:
            return HandoverStep.REACQUIRE_LOCK
        return HandoverStep.FINISH if self.state is SourceState.HANDED_OVER else HandoverStep.WAIT

    def lock_result(self, acquired: bool) -> HandoverStep:
        """It has released the lock and asked for it again: whoever holds it instead owns everything."""
        # A confirmation that was sent and not received would leave two owners; the lock has one holder.
        self.state = SourceState.SERVING if acquired else SourceState.HANDED_OVER
        return HandoverStep.RESUME if acquired else HandoverStep.FINISH


class HandoverTarget:
    """The new process: it owns nothing until it has the lock and has said that it took over.

    Attributes:
        state: Where the hand-over stands.
    """

    def __init__(self) -> None:
        self.state = TargetState.REQUESTING

    @property
    def is_owner(self) -> bool:
        """Whether it may act."""
        return self.state is TargetState.OWNER

    def request_sent(self) -> None:
        """The old process has been asked for everything."""
        self.state = TargetState.RECEIVING

    def declined(self, retry: bool) -> HandoverStep:
        """The old process declines; one that says so for now only may be asked again."""
        if retry:
            return HandoverStep.WAIT
        self.state = TargetState.WAITING_FOR_LOCK
        return HandoverStep.REQUEST_SHUTDOWN

    def received(self, readable: bool) -> HandoverStep:
        """Everything was sent; `readable` says whether the state could be read."""
        if not readable:
            self.state = TargetState.WAITING_FOR_LOCK
            return HandoverStep.REQUEST_SHUTDOWN
        self.state = TargetState.TAKING_OVER
        return HandoverStep.TAKE_OVER

    def lock_received(self, journal_readable: bool) -> HandoverStep:
        """It was passed the lock; `journal_readable` says whether it can read the journal."""
        self.state = TargetState.OWNER if journal_readable else TargetState.GIVEN_UP
        return HandoverStep.SERVE if journal_readable else HandoverStep.GIVE_UP

    def exchange_failed(self) -> HandoverStep:
        """The exchange ended before everything had come: the old process has ended, or goes on serving."""
        if self.state not in (TargetState.WAITING_FOR_LOCK, TargetState.GIVEN_UP):
            self.state = TargetState.REQUESTING  # its confirmation was not received
        return HandoverStep.WAIT
