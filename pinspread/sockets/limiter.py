"""How many client connections may be open at once, and which give way."""

import anyio

from pinspread.core.log import log

FIRST_US = 2_200_000  # for a first command, or the rest of a begun one; a caller leg is owed an end in 3 s
SILENT_US = 100_000  # after which one whose turn it is to speak gives way to newcomers, if it must
IDLE_US = 2_000_000  # before which one that has handed messages in is the last to give way
LONG_IDLE_US = 2_100_000  # after which it is closed though there is room
SWEEP_S = 0.25


class ClientConnection:
    """What the room knows of one caller leg."""

    __slots__ = ("asked", "bytes", "connection", "half", "kept", "since_us", "spoke", "word")

    def __init__(self, connection, now_us):
        self.connection = connection
        self.since_us = now_us  # since when it waits for its next command, or that for its rest
        self.spoke = False  # whether a command of it has been answered well
        self.asked = False  # whether it has handed a message in
        self.half = False  # whether a command has begun and is not whole
        self.kept = False  # its protocol tells by itself when the other side is gone
        self.bytes = 0  # held for it beyond what each leg has
        self.word = b""  # the last word if it does not say a whole command in time

    def begun(self, now_us):
        """A command has begun and is not whole; a first one counts from the leg's own begin."""
        if self.spoke and not self.half:
            self.since_us = now_us
        self.half = True

    def spoken(self, now_us):
        """A command was answered well."""
        self.spoke, self.half = True, False
        self.since_us = now_us


class ConnectionLimiter:
    """How many caller legs the fronts may hold together, and how many bytes for them."""

    def __init__(self, clock, most=512, most_bytes=8 << 20):
        self.clock = clock
        self.resize(most, most_bytes)
        self.bytes = 0
        self.legs = {}  # connection -> Leg, in the order in which they came

    def resize(self, most, most_bytes):
        """Other limits count from now on; legs that are over them give way as usual."""
        self.most = most
        self.most_asked = most * 2 // 5  # legs that hand messages in: a quarter of the descriptors
        self.most_bytes = most_bytes

    def enter(self, connection):
        """Another caller leg."""
        leg = self.legs[connection] = ClientConnection(connection, self.clock.now())
        return leg

    def leave(self, leg):
        """It has ended."""
        self.hold(leg, 0)
        self.legs.pop(leg.connection, None)

    def hold(self, leg, size) -> bool:
        """Have that many bytes held for a leg; false if there is no room for more."""
        more = size - leg.bytes
        # Danger: hundreds of commands that are never finished would take all memory.
        if more > 0 and self.bytes + more > self.most_bytes:
            return False
        self.bytes += more
        leg.bytes = size
        return True

    def make(self) -> bool:
        """Whether there is room for another leg; one that serves nobody gives way."""
        legs = self.legs.values()
        if len(legs) < self.most_asked:
            return True
        # Danger: callers that say nothing, or asked once and stay, would keep the usual ones out. Those may
        # hold a third of the descriptors: at that they can open no more, and their requests fail unseen.
        now_us = self.clock.now()
        asked = [leg for leg in legs if leg.asked]
        full = len(legs) >= self.most
        if len(asked) < self.most_asked and not full:
            return True
        spare = asked if len(asked) >= self.most_asked else legs
        idle = [leg for leg in spare if not leg.kept and now_us - leg.since_us > SILENT_US]
        # First those that never handed anything in, then those that have waited longest for their turn.
        while idle:
            leg = min(idle, key=lambda leg: (leg.asked and now_us - leg.since_us < IDLE_US, leg.since_us))
            if leg.connection.quiet():
                self._end(leg, "room for others")
                return True
            idle.remove(leg)
        return not full

    def sweep(self):
        """End the legs that keep what they began waiting, or have been idle for long."""
        now_us = self.clock.now()
        for leg in list(self.legs.values()):
            if leg.kept:
                continue
            idle = leg.spoke and not leg.half
            # Danger: its command is there already, and the loop was late; ended now, it would have no answer.
            # Who always has bytes unread and never a whole command is ended all the same, a little later.
            late = idle or now_us - leg.since_us < FIRST_US + int(2 * SWEEP_S * 1_000_000)
            if late and not leg.connection.quiet():
                continue
            if now_us - leg.since_us > (LONG_IDLE_US if idle else FIRST_US):
                # Danger: a command that was half sent, or never begun, is owed an answer or a close in time.
                if leg.word and not idle:
                    leg.connection.say(leg.word)
                self._end(leg, "idle" if idle else "no command")

    def _end(self, leg, why):
        log("leg_ended", why=why, legs=len(self.legs), spoke=leg.spoke, asked=leg.asked)
        self.legs.pop(leg.connection, None)
        leg.connection.end()

    async def run(self):
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_S)
            self.sweep()


async def in_room(room, serve, connection, *more):
    """Serve a connection that counts as long as it is served."""
    leg = room.enter(connection)
    try:
        await serve(connection, leg, *more)
    finally:
        room.leave(leg)
