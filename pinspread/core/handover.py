"""What a hand-over between two processes decides: who owns the messages at each moment. No I/O, no clock.

`docs/daily.md` has the steps. Each machine takes what happened and says what to do next.
"""

from enum import Enum


class HandoverStep(Enum):
    """What the side is to do now."""

    WAIT = "wait"
    GIVE = "give"  # come to rest and send all
    DECLINE = "decline"  # say no, with the reason
    RETAKE = "retake"  # let the lock go and ask for it anew
    RESUME = "resume"  # serve on
    LEAVE = "leave"  # hand nothing over, finish and end
    FINISH = "finish"  # report what is still out, then end
    TAKE = "take"  # take the lock, read the journal
    SERVE = "serve"  # it owns all: say so, then act
    ASK_LEAVE = "ask leave"  # have the old process end, and recover from the journal
    GIVE_UP = "give up"  # end; the old process serves on


class HandoverSource:
    """The old process: it owns all until it hears *taken*, and is at rest from `give` until then."""

    def __init__(self, shape: str):
        self.shape = shape  # of the state that it would send
        self.state = "serving"
        self.why = ""

    @property
    def owns(self) -> bool:
        """Whether it may act: take on, start calls, record."""
        return self.state in ("serving", "leaving")

    def hello(self, shape: str) -> HandoverStep:
        """A new process asks for all."""
        if self.state != "serving":
            self.why = f"busy: {self.state}"
            return HandoverStep.DECLINE
        if shape != self.shape:
            self.why = "its state has another shape"
            return HandoverStep.DECLINE
        self.state = "at rest"
        return HandoverStep.GIVE

    def asked_to_leave(self) -> HandoverStep:
        """A new process can't take over as things are, and wants the lock."""
        if self.state != "serving":
            return HandoverStep.WAIT
        self.state = "leaving"
        return HandoverStep.LEAVE

    def taken(self) -> HandoverStep:
        """The new process owns all."""
        if self.state != "at rest":
            return HandoverStep.WAIT  # garbled: nothing was given
        self.state = "given"
        return HandoverStep.FINISH

    def broke(self) -> HandoverStep:
        """The exchange ended, was declined or took too long."""
        if self.state == "at rest":
            return HandoverStep.RETAKE
        return HandoverStep.FINISH if self.state == "given" else HandoverStep.WAIT

    def retaken(self, own: bool) -> HandoverStep:
        """It has let the lock go and asked for it anew: who holds it instead owns all."""
        # Danger: a *taken* that was said and not heard would leave two owners; the lock has one.
        self.state = "serving" if own else "given"
        return HandoverStep.RESUME if own else HandoverStep.FINISH


class HandoverTarget:
    """The new process: it owns nothing until it has the lock and has said *taken*."""

    def __init__(self):
        self.state = "asking"

    @property
    def owns(self) -> bool:
        """Whether it may act."""
        return self.state == "owner"

    def declined(self, busy: bool) -> HandoverStep:
        """The old process says no; one that is busy may be asked again."""
        if busy:
            return HandoverStep.WAIT
        self.state = "waiting for the lock"
        return HandoverStep.ASK_LEAVE

    def collected(self, whole: bool) -> HandoverStep:
        """All was sent; `whole` says whether it could be read."""
        if not whole:
            self.state = "waiting for the lock"
            return HandoverStep.ASK_LEAVE
        self.state = "taking"
        return HandoverStep.TAKE

    def locked(self, readable: bool) -> HandoverStep:
        """It has the lock; `readable` says whether it can read the journal."""
        self.state = "owner" if readable else "given up"
        return HandoverStep.SERVE if readable else HandoverStep.GIVE_UP

    def broke(self) -> HandoverStep:
        """The exchange ended before all had come: the old process is gone, or serves on."""
        if self.state in ("asking", "collecting", "taking", "owner"):
            self.state = "asking"  # its *taken* was not heard
        return HandoverStep.WAIT
