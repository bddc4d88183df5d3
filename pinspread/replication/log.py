"""Copies of a courier's journal: the decisions alone, with no I/O and no clock.

A journal is bytes that only grow, until it is rewritten: then it is another *generation*, whose first part
(the *base*) holds all that is owed. Places are offsets in bytes.
"""

from array import array
from bisect import bisect_right
from dataclasses import dataclass, field

import xxhash

from pinspread.core import journal_records
from pinspread.membership.members import MemberState

RANGE = 64 * 1024  # bytes that are compared by one sum
MOST_DATA = 256 * 1024  # bytes in one message


def sums(data) -> list[int]:
    """A sum for each range of the data, the last one of what is left."""
    return [xxhash.xxh64_intdigest(bytes(data[at : at + RANGE])) for at in range(0, len(data), RANGE)]


def common(mine, size: int, theirs: list[int]) -> int:
    """Up to which place a copy of `size` bytes with those sums is the same as `mine`."""
    if size > len(mine) or len(theirs) != -(-size // RANGE):
        size = 0
    for n, (a, b) in enumerate(zip(sums(memoryview(mine)[:size]), theirs, strict=False)):
        if a != b:
            return n * RANGE
    return size


@dataclass
class ReplicationLog:
    """The owner's side: its journal as it stands, and what each copy has acknowledged."""

    need: int  # copies that a promise waits for
    generation: int = 0
    data: bytearray = field(default_factory=bytearray)
    base: int = 0
    held: dict = field(default_factory=dict)  # keeper -> (generation, place) that it has on its disk
    ends: array = field(default_factory=lambda: array("Q"))  # where each record ends
    times: array = field(default_factory=lambda: array("Q"))  # and when it was written, microseconds
    floor: int = 0  # generations that copies have had: a new one is above them

    def rewritten(self, data: bytes, generation: int, now_us: int = 0):
        """The journal was written anew."""
        # Danger: after a clock that went back, copies would refuse all as older than what they have.
        self.generation = max(generation, self.generation + 1, self.floor + 1)
        self.data, self.base = bytearray(), len(data)
        self.ends, self.times = array("Q"), array("Q")
        self.appended(data, now_us)

    def appended(self, data: bytes, now_us: int = 0):
        """One record, or several."""
        at = len(self.data)
        self.data += data
        for payload in journal_records.payloads(data):
            at += journal_records.HEADER_BYTES + len(payload)
            self.ends.append(at)
            self.times.append(now_us)

    def mark(self) -> tuple[int, int]:
        """The place that all up to now ends at."""
        return self.generation, len(self.data)

    def has(self, keeper: str, mark) -> bool:
        """Whether a copy holds all up to a mark; a whole newer generation holds all of an older one."""
        generation, place = self.held.get(keeper, (0, 0))
        if generation == mark[0]:
            return place >= mark[1]
        return generation == self.generation and generation > mark[0] and place >= self.base

    def copied(self, keepers, mark) -> bool:
        """Whether enough of the keepers hold all up to a mark."""
        return sum(self.has(k, mark) for k in keepers) >= self.need

    def behind(self, keeper: str, now_us: int = 0) -> tuple[int, int, int]:
        """What a copy lacks: records, bytes, and microseconds since the first of them was written."""
        generation, place = self.held.get(keeper, (0, 0))
        place = place if generation == self.generation else 0
        first = bisect_right(self.ends, place)
        records = len(self.ends) - first
        return records, len(self.data) - place, now_us - self.times[first] if records else 0

    def spared(self, keeper: str, keepers) -> bool:
        """Whether a member may let its copy go: it is no keeper any more, and all that are hold all."""
        whole = bool(keepers) and all(self.has(k, self.mark()) for k in keepers)
        return whole and keeper not in keepers

    def resume_at(self, generation: int, size: int, theirs: list[int]) -> int:
        """From where to send to a copy that says what it has."""
        return common(self.data, size, theirs) if generation == self.generation else 0


@dataclass
class Replica:
    """The keeper's side of one owner's copy: what the files hold and who may append."""

    owner: str
    token: int = 0  # nobody with an older one is heard
    generation: int = 0
    size: int = 0
    coming: int = 0  # a generation that is not whole yet; 0: none
    coming_size: int = 0
    coming_base: int = 0
    keepers: list = field(default_factory=list)  # whom the owner copies to, by its last word
    tried: list = field(default_factory=list)  # members that have begun to take over
    adopted: int = 0  # token under which the work was taken over for good

    def greet(self, token: int) -> str:
        """An owner would like to send: empty, or why not."""
        if token < self.token:
            return f"fenced: token {token}, newer is {self.token}"
        self.token = token
        return ""

    def fence(self, token: int, by: str) -> str:
        """A successor asks for the copy: nobody with an older token is heard from now on."""
        if token < self.token:
            return f"fenced: token {token}, newer is {self.token}"
        self.token = token
        if by != self.owner and by not in self.tried:
            self.tried.append(by)
        return ""

    def place(self, token: int, generation: int, base: int, at: int, length: int) -> str:
        """Where bytes go: `old` or `new` file, or a reason to refuse them. Sizes count them from then on."""
        if token != self.token:
            return f"fenced: token {token}, newer is {self.token}"
        if generation == self.generation:
            if at > self.size:
                return f"out of order: at {at}, has {self.size}"
            self.size = at + length
            return "old"
        if generation != self.coming:
            if at or generation < self.generation:
                return f"out of order: at {at} of generation {generation}, has {self.generation}"
            self.coming, self.coming_size, self.coming_base = generation, 0, base
        if at > self.coming_size:
            return f"out of order: at {at}, has {self.coming_size}"
        self.coming_size = at + length
        return "new"

    def whole(self) -> bool:
        """Whether the generation that comes is whole; it takes the old one's place then."""
        if not self.coming or self.coming_size < self.coming_base:
            return False
        self.generation, self.size = self.coming, self.coming_size
        self.coming = self.coming_size = self.coming_base = 0
        self.adopted = 0  # the owner serves again, with a journal of its own
        self.tried = []
        return True


def absent(state: str, for_us: int, absent_us: int) -> bool:
    """Whether an owner's work is due for another; `state` is empty if membership knows nothing of it.

    Danger: a member that starts hears of no death before its start. Were the unknown no case, what a lost
    courier promised would stay with keepers that were restarted after it.
    """
    return state == MemberState.DEAD or (state in ("", MemberState.LEFT) and for_us >= absent_us)


def best(found: list) -> object:
    """Of (generation, data, ...) the newest generation's longest; None of none. 0 holds nothing."""
    return max((f for f in found if f[0]), key=lambda f: (f[0], len(f[1])), default=None)


def enough(answered, chosen, count: int, need: int) -> bool:
    """Whether what was promised must be among the copies that answered, with nothing among them.

    A promise is on `need` of the `count` keepers, so `count - need + 1` of them have one that holds it.
    `chosen`: the owner's keepers as each copy was told, which differ while the owner changes them.
    """
    return bool(chosen) and all(
        len(set(answered) & set(keepers)) >= max(1, min(count, len(keepers)) - need + 1) for keepers in chosen
    )
