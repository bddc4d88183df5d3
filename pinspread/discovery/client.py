"""The platform's discovery: a watch that is opened again whenever it breaks or falls silent."""

import math
import random
import re
from pathlib import Path

import anyio
import orjson

from pinspread.core.log import log
from pinspread.core.messages import Endpoint
from pinspread.http.transport import Exchange
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.sockets import dial, split_address

# What a silent watch misses counts as told 6 s after it fell silent. An empty line comes every 2 s, so this
# leaves time for a second watch that is silent as well.
LINE_S = 2.8  # without a whole line a watch has fallen silent
FIRST_S = 1.0  # the same for its first line, which comes at once
HEAD_S = 1.2  # until its answer begins, where each courier has an agent of its own
ASKED_S = 5.0  # and where all ask one service, which works through calls in turn
SPREAD_S = 1.5  # over which watches of many that all fell silent are opened again there
TRY_S = 0.3  # between watches that are opened while an agent is silent
MOST_TRYING = 4  # that wait for their answers beside each other
AGAIN_S = 0.2  # before a watch that broke is opened again, where few couriers share a discovery
FEW = 4  # couriers that may open theirs so often; more take their turns
MOST_STEPS = 2  # in which that wait doubles while no watch comes up
MOST_LINE = 4 << 20
MOST_LOGGED = 3  # watches in a row that fail, of which each is logged
LEFT = "list.left"  # in the folder that lasts
LEFT_SHARE = 0.002  # of the folder's room, for each of its file and the next one
STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
HEALTH_WORDS = {state: word for word, state in STATES.items()}  # as lists and the kept file have it
SECOND_US = 1_000_000
NO_MARKS = re.compile(rb'"(?:[^"\\]|\\.)*"')
OPENS, CLOSES = re.compile(rb"[{[]"), re.compile(rb"[]}]")


def again_s(failed: int, couriers: int, chance: float) -> float:
    """Seconds until a watch is opened again that failed that often in a row; chance is 0 to 1."""
    # Danger: a discovery that is overbooked, or was away, is asked by the whole fleet in one instant and then
    # five times a second by each; it turns all away, and nobody learns of anything any more. What a fleet
    # asks for in a second is what few couriers ask for, and less while it is turned away. It could hurt where
    # one courier alone lost its watch: it is blind for seconds.
    fleet = max(1.0, couriers / FEW)
    steps = min(failed, MOST_STEPS) * (1 - 1 / fleet)
    return AGAIN_S * fleet * 2**steps * (0.5 + chance)


class _Lines:
    """Takes a watch's bytes apart: the object of each line, though it may be indented over several."""

    def __init__(self):
        self.half = b""  # of a line
        self.held = b""  # whole lines of an object that is not whole yet
        self.depth = 0

    def fed(self, piece):
        """What is whole by now, in order; None is an empty line. ValueError where it is none."""
        *lines, self.half = (self.half + piece).split(b"\n")
        if len(self.half) + len(self.held) > MOST_LINE:
            raise ValueError("a line without an end")
        for line in lines:
            if not self.held and not line.strip():
                yield None
                continue
            marks = NO_MARKS.sub(b"", line)
            self.depth += len(OPENS.findall(marks)) - len(CLOSES.findall(marks))
            self.held += line
            if self.depth <= 0:
                whole, self.held, self.depth = self.held, b"", 0
                yield orjson.loads(whole)


class _Left:
    """Endpoints that a list has told to leave, by id, newest last: kept over restarts."""

    def __init__(self, told):
        self.path = Path(told.state) / LEFT
        self.most = int(told.disk_bytes * LEFT_SHARE)
        self.read()

    def read(self):
        """As the file has it; another process may have written it since."""
        try:
            kept = orjson.loads(self.path.read_bytes())
            self.health = {id_: health for id_, health in kept.items() if health in STATES}
        except (OSError, ValueError, AttributeError, TypeError):
            self.health = {}  # none yet, or damaged: the next list says it all

    def over(self, known):
        """An old list as it reads with what was told since."""
        hosts = [
            host | {"health": self.health[host["host"]]}
            if isinstance(host, dict) and isinstance(host.get("host"), str) and host["host"] in self.health
            else host
            for host in known["hosts"]
        ]
        return known | {"hosts": hosts}

    def told(self, states):
        """A list has told these (id -> ListState)."""
        before = dict(self.health)
        for id_, state in states.items():
            self.health.pop(id_, None)
            if state is not EndpointState.READY:
                self.health[id_] = HEALTH_WORDS[state]
        if self.health == before:
            return
        while len(data := orjson.dumps(self.health)) > self.most:
            del self.health[next(iter(self.health))]  # the oldest; it has long left the lists of others too
        try:
            fresh = self.path.with_suffix(".new")
            fresh.write_bytes(data)
            fresh.rename(self.path)
        except OSError as error:
            log("list_not_kept", error=str(error))


class _Watch:
    """One watch: its task's scope, and until when it counts as one that speaks."""

    __slots__ = ("address", "scope", "silent_us", "up", "whole")

    def __init__(self, address, whole):
        self.address = address
        self.whole = whole  # it asks for the whole list
        self.scope = anyio.CancelScope()
        self.up = False  # its answer has begun
        self.silent_us = 0


class Discovery:
    """Follows the list of endpoints and hands what changes to the core."""

    def __init__(self, address, engine, told):
        self.address = address
        self.engine = engine
        self.told = told
        self.seq = 0
        self.anew = False  # the whole list is wanted, whatever is known
        self.failed = 0  # watches in a row that did not come up
        self.random = random.Random(told.seed)
        self.tasks = None
        self.first_answer = anyio.Event()  # the list as it is now has been read, or can't be had
        self.current = None  # the watch that is followed
        self.before = ""  # where the last one was up
        self.trying = []  # those that are not up yet
        self.again_us = 0  # when the next may be opened
        self.nudge = anyio.Event()
        self.left = _Left(told)

    def start(self):
        """The list as the configuration has it, which may be old, and what was told to leave since."""
        # Danger: the configuration's list may be old, and an agent that is away tells no newer one: what the
        # process before was told of drains would be forgotten, and what is owed would go there.
        self.left.read()
        known = self.told.cached_endpoints
        well = isinstance(known, dict) and isinstance(known.get("hosts"), list)
        self._learn(self.left.over(known) if well else known, UpdateScope.CACHED)

    def snapshot(self) -> dict:
        """What another process needs to follow on from here."""
        return {"address": self.address, "seq": self.seq}

    def resume(self, found: dict):
        """Follow on from where another process was; its core has handed over the list itself."""
        self.left.read()
        if found.get("address") == self.address:
            self.seq = found["seq"]

    def poll(self):
        """The module asks for the list's changes: the watch brings them anyhow."""
        self.engine.update_endpoints(UpdateScope.DELTA, [])

    def apply_settings(self, told):
        """Other settings count from now on; where kinds or zones are others, the whole list is read anew."""
        old, self.told = self.told, told
        if (old.kinds, old.zones) != (told.kinds, told.zones):
            self._anew()

    def change_address(self, address):
        """Discovery is at another address from now on; the old watch goes on until the new one is up."""
        if address != self.address:
            self.address = address
            self.seq = 0  # the versions there may be others
            self._anew()

    def _anew(self):
        self.anew, self.failed, self.again_us = True, 0, 0
        trying, self.trying = self.trying, []
        for watch in trying:
            watch.scope.cancel()
        self.nudge.set()

    async def run(self):
        """Watch until cancelled."""
        self.current, self.trying, self.again_us = None, [], 0
        async with anyio.create_task_group() as self.tasks:
            while True:
                wait_us = self._wait_us()
                if wait_us <= 0:
                    self._open()
                    continue
                with anyio.move_on_after(wait_us / SECOND_US):
                    await self.nudge.wait()
                self.nudge = anyio.Event()

    def _wait_us(self):
        """How long no further watch is wanted."""
        now_us, watch = self.engine.clock.now(), self.current
        speaks = watch is not None and watch.address == self.address and not self.anew
        if speaks and now_us < watch.silent_us:
            return watch.silent_us - now_us
        if len(self.trying) >= (
            len({self.address, self.before} - {""})
            if self.told.policy_settings.polled_discovery
            else MOST_TRYING
        ):
            return SECOND_US  # the end of one wakes
        return self.again_us - now_us

    def _open(self):
        # Danger: an agent that was silent may answer what waits for it once it is back, or who asks from then
        # on. Both are had where watches are opened beside each other; the old one is followed until then.
        if self.current and not self.anew and not self.trying and not self.failed:
            log("watch_broke", address=self.current.address, error="silent")
        self.again_us = self.engine.clock.now() + int(TRY_S * SECOND_US)
        places = {self.address}
        if self.current is None and self.before:
            places.add(self.before)  # it broke before the new place was up: better than to hear of nothing
        for address in places:
            watch = _Watch(address, self.anew or not self.seq)
            self.trying.append(watch)
            self.tasks.start_soon(self._follow, watch)

    async def _follow(self, watch):
        with watch.scope:
            try:
                await self._watch(watch)
            except (OSError, ValueError) as error:
                self._ended(watch, error)
        if watch in self.trying:
            self.trying.remove(watch)
        if watch is self.current:
            self.current = None
        self.nudge.set()

    def _ended(self, watch, error):
        if watch.scope.cancel_called or watch.address != self.address:
            return  # another one has taken its place, or will
        if self.failed < MOST_LOGGED:
            log("watch_broke", address=watch.address, error=str(error) or type(error).__name__)
        self.first_answer.set()
        alone = (
            not self.told.policy_settings.polled_discovery
        )  # an agent of its own, which is no burden to others
        if alone and isinstance(error, TimeoutError):
            self.failed += 1
            return  # the next is open already
        # One that turns callers away is asked by turns; the first after one that broke comes soon.
        soon = alone and (watch.up or isinstance(error, ConnectionRefusedError))
        again = again_s(self.failed, 1 if soon else self.told.policy_settings.senders, self.random.random())
        self.again_us = self.engine.clock.now() + int(again * SECOND_US)
        self.failed += 1

    def _up(self, watch):
        """Its answer has begun: it takes the place of all others."""
        # Danger: closed before the new one is up, the old watch would leave drains untold meanwhile.
        watch.up = True
        self.trying.remove(watch)
        moved = watch.address != self.address
        others = self.trying if not moved else [w for w in self.trying if w.address == watch.address]
        for other in [*others, *([self.current] if self.current else ())]:
            other.scope.cancel()
        self.trying = [w for w in self.trying if w not in others]
        self.current = watch
        if not moved:
            self.before, self.failed = watch.address, 0
            self.anew = self.anew and not watch.whole

    async def _watch(self, watch):
        address = watch.address
        asked = self.told.policy_settings.polled_discovery
        connection = None
        try:
            with anyio.fail_after(ASKED_S if asked else HEAD_S):
                connection = await dial(address)
                exchange = Exchange(connection, most=None)
                seq = 0 if watch.whole else self.seq
                await exchange.request("GET", f"/api/targets?watch=1&from={seq}", address)
                status, _ = await exchange.response()
            if status != 200:
                raise ValueError(f"discovery answered {status}")
            if watch not in self.trying or (self.current and watch.address != self.address):
                return  # another one is up, or discovery is elsewhere by now
            self._up(watch)
            lines = _Lines()
            self._spoke(watch, FIRST_S)
            while True:
                piece = await exchange.data()
                if watch is not self.current:
                    # Danger: what an old watch still brings would undo the newer one's list.
                    return
                if piece is None:
                    raise ConnectionResetError("ended by discovery")
                for news in lines.fed(piece):
                    if news is not None:
                        self._learn(news, moved=address != self.address)
                    self.first_answer.set()  # None, an empty line: nothing has changed
                    self._spoke(watch, LINE_S)
        finally:
            if connection is not None:
                connection.close()

    def _spoke(self, watch, next_s):
        # Danger: half a line, or one that trickles in, says no more than silence; only whole ones count.
        # Where all ask one service, watches that fall silent in one instant are opened anew by chance.
        if self.told.policy_settings.polled_discovery and self.told.policy_settings.senders > FEW:
            next_s += SPREAD_S * self.random.random()
        watch.silent_us = self.engine.clock.now() + int(next_s * SECOND_US)

    def _learn(self, news, scope=None, moved=False):
        endpoints = []
        if (
            not isinstance(news, dict)
            or not isinstance(news.get("hosts"), list)
            or not _count(news.get("seq"))
        ):
            raise ValueError(f"not a list of endpoints: {str(news)[:100]}")
        for host in news["hosts"]:
            try:
                endpoints.append((self._hop(host), STATES[host["health"]]))
            except (KeyError, TypeError, ValueError) as error:
                log("malformed_host", host=host, error=repr(error))
                endpoints += self._leaving(host)
        if not moved:
            self.seq = news["seq"]
        scope = scope or (UpdateScope.FULL if news.get("whole") else UpdateScope.DELTA)
        if scope is not UpdateScope.CACHED:
            states = {endpoint.id: state for endpoint, state in endpoints}
            gone = self.engine.endpoints.keys() - states.keys() if scope is UpdateScope.FULL else ()
            self.left.told(dict.fromkeys(gone, EndpointState.REMOVED) | states)
        self.engine.update_endpoints(scope, endpoints)
        if endpoints or scope is not UpdateScope.DELTA:
            changed = (
                {endpoint.id: state.name for endpoint, state in endpoints}
                if scope is UpdateScope.DELTA
                else len(endpoints)
            )
            log("list", scope=scope.name, seq=self.seq, hops=changed)

    def _hop(self, host) -> Endpoint:
        """An entry as a next hop; KeyError, TypeError or ValueError if it is none."""
        # Danger: taken on as it comes, a part of another type ends the courier where it is first used.
        id_, address, weight = host["host"], host["dial"], float(host["share"])
        if not (isinstance(id_, str) and id_ and isinstance(address, str) and _count(host["block"])):
            raise TypeError("host, dial or block is not what it must be")
        split_address(address)
        if not (math.isfinite(weight) and weight >= 0):
            raise ValueError(f"a share of {weight}")
        zone, kind = self.told.zones.get(host["site"], 0), self.told.kinds.get(host["class"], 0)
        return Endpoint(id_, address, host["block"], weight=weight, zone=zone, kind=kind)

    def _leaving(self, host):
        """What a malformed entry says all the same: that an endpoint which is known drains, or is gone."""
        # Danger: passed over, it would be called for as long as the courier runs.
        id_, health = (host.get("host"), host.get("health")) if isinstance(host, dict) else ("", "")
        known = self.engine.endpoints.get(id_) if isinstance(id_, str) else None
        if known is None or health not in ("draining", "gone"):
            return []
        return [(known, STATES[health])]


def _count(value) -> bool:
    return type(value) is int and value >= 0
