"""Traffic on the fault stage: callers of every courier, one partner, the platform that hears notices; and a ledger.

A share of the messages comes by AMQP: published with confirms, their ends consumed at every courier.
Events in the history: `acked` (a courier said +OK), `delivered` (the partner did it), `final` (a notice came).
A caller that hears nothing hands the same message in again at the same courier until its time is up.
"""

import random

import anyio
import orjson
from pamqp import commands

from pinspread import sockets
from pinspread.testbed.clients import AmqpClient, Client
from pinspread.testbed.stand_ins import HttpStandIn

PARTNER, PLATFORM = ("201", 8080), ("202", 8500)
CLASSES = {"payment": 0.4, "booking-change": 0.4, "status-update": 0.2}
KEYS = 8
ENDS = "ends"
LATE_US = 1_000_000  # what a notice may take after a message's time is up


class Traffic:
    """`rate` messages a second at each courier, for `for_s` seconds, each with `deadline_s` to its end."""

    def __init__(
        self,
        stage,
        rate=10.0,
        for_s=10.0,
        deadline_s=15.0,
        slow_s=0.02,
        busy_share=0.05,
        amqp_share=0.0,
        seed=1,
        loops=0,
        at=(),
        limit=500,
    ):
        """With `loops`, so many callers at a courier hand in one message after the other, whatever `rate` is;
        with `at`, only at these couriers."""
        self.amqp_share, self.loops, self.at, self.limit = amqp_share, loops, at, limit
        self.stage, self.rate, self.for_s, self.deadline_s = stage, rate, for_s, deadline_s
        self.slow_s, self.busy_share, self.rng = slow_s, busy_share, random.Random(seed)
        self.add = stage.history.add
        self.scope = None

    def zone(self):
        """The partner's records."""
        yield "_http._tcp PTR p1._http._tcp"
        yield f"p1._http._tcp SRV 0 0 {PARTNER[1]} p1"
        yield f'p1._http._tcp TXT "dest=1" "rate={self.limit}"'
        yield f"p1 A {self.stage.prefix}.{PARTNER[0]}"

    def platform(self):
        """Where notices go."""
        return f"{self.stage.prefix}.{PLATFORM[0]}:{PLATFORM[1]}"

    async def run(self, started):
        """Serve the stand-ins; callers begin when `started` is set. Until cancelled."""
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                for (host, port), answer in ((PARTNER, self._partner), (PLATFORM, self._heard)):
                    sock = sockets.listen(f"{self.stage.prefix}.{host}:{port}")
                    tasks.start_soon(HttpStandIn(answer).run, sock)
                await started.wait()
                for c in self.stage.cast:
                    if self.at and c.id not in self.at:
                        continue
                    for n in range(self.loops):
                        tasks.start_soon(self._loop, c, n)
                    if not self.loops:
                        tasks.start_soon(self._callers, tasks, c)
                    if self.amqp_share:
                        tasks.start_soon(self._consume, c)

    async def _partner(self, request):
        _, method, _, _, body = request
        if method != "POST":
            return 200, [], b""
        if self.rng.random() < self.busy_share:
            return 503, [], b""
        self.add("partner", "delivered", id=body.decode())
        await anyio.sleep(self.slow_s * self.rng.random())
        return 200, [], b""

    def _heard(self, request):
        for line in request[4].splitlines():
            told = orjson.loads(line)
            self.add("platform", "final", id=told["id"], state=told["state"])
        return 204, [], b""

    async def _callers(self, tasks, courier):
        end = anyio.current_time() + self.for_s
        serial = 0
        while anyio.current_time() < end:
            cls = self.rng.choices(list(CLASSES), CLASSES.values())[0]
            serial += 1
            by_amqp = self.rng.random() < self.amqp_share
            key = self.rng.randrange(1, KEYS) if cls == "booking-change" else 0
            hand_in = _publish if by_amqp else _enqueue
            tasks.start_soon(self._call, hand_in, courier, f"{courier.id}-{serial}", cls, key)
            await anyio.sleep(self.rng.expovariate(self.rate))

    async def _loop(self, courier, n):
        """One caller that hands in the next message as soon as it has heard of the last."""
        end = anyio.current_time() + self.for_s
        serial = 0
        while anyio.current_time() < end:
            serial += 1
            await self._call(_enqueue, courier, f"{courier.id}-{n}-{serial}", "status-update", 0)

    async def _call(self, hand_in, courier, id_, cls, key):
        until = anyio.current_time() + self.deadline_s
        while (left := until - anyio.current_time()) > 1:
            said = ""
            try:
                with anyio.move_on_after(1.0):
                    began = anyio.current_time()
                    said = await hand_in(courier.real[0], id_, cls, key, int(left * 1000))
            except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
                pass
            if said.startswith("+OK"):
                took = int((anyio.current_time() - began) * 1e6)
                self.add(courier.id, "acked", id=id_, cls=cls, key=key, took_us=took)
                break
            if said.startswith("-BUSY"):
                self.add(courier.id, "turned_away", id=id_)
            elif said:
                self.add(courier.id, "refused", id=id_, said=said[:200])
                break
            await anyio.sleep(0.3)

    async def _consume(self, courier):
        """Hear the ends of what was published at a courier, over its restarts."""
        while True:
            client = None
            try:
                client = await AmqpClient.open(f"{courier.real[0]}:5672", confirms=False)
                await client.consume(ENDS)
                while True:
                    told, _ = await client.end()
                    self.add("platform", "final", id=told["id"], state=told["state"])
            except (OSError, TimeoutError):
                await anyio.sleep(0.2)
            finally:
                if client:
                    client.close()


async def _enqueue(host, id_, cls, key, for_ms):
    """Hand a message in by RESP2: its answer."""
    client = Client(f"{host}:6379")
    try:
        options = f"c={cls},t=all,d={for_ms},k={id_},dest=1"
        return await client.say("ENQUEUE", str(key), id_, options, id_.encode())
    finally:
        if client.stream is not None:
            with anyio.CancelScope(shield=True):
                await client.stream.aclose()


async def _publish(host, id_, cls, key, for_ms):
    """Publish a message and wait for its confirm, in the words of RESP2; empty if there is none."""
    client = await AmqpClient.open(f"{host}:5672")
    try:
        told = {"key": f"{key:x}", "idempotency-key": id_}
        await client.publish(id_, cls, id_.encode(), for_ms, tenant="all", **told)
        method, _, _ = await client.next()
        if isinstance(method, commands.Basic.Ack):
            return "+OK"
        return "-BUSY" if isinstance(method, commands.Basic.Return | commands.Basic.Nack) else ""
    finally:
        client.close()


def ledger(lines):
    """What became of all that was acknowledged: counts, and the ids of what must not be."""
    acked, delivered, finals, taken = {}, {}, {}, {}
    told_us, first_done, last_done = {}, {}, {}
    for line in lines:
        event, id_ = line.get("event"), line.get("id")
        if event == "taken":
            until_us = line["mono_us"] + line["for_ms"] * 1000
            taken.setdefault(id_, (line["who"], line["key"], line["mono_us"], until_us))
        elif event == "acked":
            acked.setdefault(id_, line)
        elif event == "delivered" and line["who"] == "partner":
            delivered[id_] = delivered.get(id_, 0) + 1
            first_done.setdefault(id_, line["mono_us"])
            last_done[id_] = line["mono_us"]
        elif event == "final" and line["who"] == "platform":
            finals.setdefault(id_, []).append(line["state"])
            told_us.setdefault(id_, line["mono_us"])

    def after(id_, state):
        """Whether it was promised, then told such an end, and then delivered.

        What was returned before any promise may be handed in again under its id.
        """
        wait_committed = id_ in acked and acked[id_]["mono_us"] < told_us.get(id_, 0)
        return wait_committed and state in finals[id_] and last_done.get(id_, 0) > told_us[id_]

    twice = [i for i, n in delivered.items() if n > 1 and acked.get(i, {}).get("cls") == "payment"]
    disordered, last = [], {}
    for id_, (who, key, *_) in sorted(taken.items(), key=lambda item: item[1]):
        if key and id_ in first_done and id_ in acked:
            if first_done[id_] < last.get((who, key), 0):  # also one that was delivered again behind its next
                disordered.append(id_)
            last[who, key] = max(last_done[id_], last.get((who, key), 0))
    # What is open when the scene ends is lost only if its time was up by then.
    end_us = next((li["mono_us"] for li in lines if li.get("event") == "ending"), 0)
    silent = [i for i in acked if i not in delivered and i not in finals]
    still_open = [i for i in silent if i in taken and taken[i][3] > end_us]
    ends = {i: min(told_us.get(i, first_done.get(i, 0)), first_done.get(i, told_us.get(i, 0))) for i in acked}
    return {
        "acked": len(acked),
        "delivered": sum(i in delivered for i in acked),
        "failed": sum("failed" in finals.get(i, ()) for i in acked),
        "returned": sum("returned" in finals.get(i, ()) for i in acked),
        "lost": [i for i in silent if i not in still_open],
        "open": len(still_open),
        "two_finals": [i for i, said in finals.items() if len(set(said)) > 1 or after(i, "returned")],
        "payments_twice": twice,
        "disordered": disordered,
        "delivered_and_failed": [i for i, said in finals.items() if i in delivered and "failed" in said],
        "late": [i for i, us in ends.items() if i in taken and us > taken[i][3] + LATE_US],
        "turned_away": sum(li.get("event") == "turned_away" for li in lines),
    }


def judged(replay, lines, e):
    """The judge's expectation `ledger`: nothing lost, none ended twice, no payment twice, order per key."""
    found = ledger(lines)
    ok = not any(found[k] for k in ("lost", "two_finals", "payments_twice", "disordered"))
    ok = ok and found["acked"] >= e.get("least", 1)
    return ok, {k: v if isinstance(v, int) else v[:10] for k, v in found.items()}
