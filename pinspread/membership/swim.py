"""SWIM membership with the Lifeguard refinements: the decisions alone, with no I/O and no clock.

A `SwimMember` is told of time (`tick(now_us)`) and of messages (`heard(message, now_us)`), and gives what to
send as `(address, message)` pairs; `events` gathers changes of the table for the log. Messages are dicts of
short keys that `pinspread.membership.codec` packs. Times are whole monotonic microseconds.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
"""

import math
import random
from dataclasses import dataclass, field, replace

from pinspread.membership.members import PRECEDENCE, MemberRecord, MemberState

PING, ACK, NACK, ASK, SYNC = "ping", "ack", "nack", "ask", "sync"
MOST_UPDATES = 12  # a message's piggyback; a datagram of 16 members' updates stays under 1,400 bytes
MOST_ROWS = 400  # of the table in one message: some 50 bytes a row, so that it fits a datagram
NACK_SHARE = 0.8  # of the probe time-out, after which a go-between says nack (Lifeguard)


@dataclass(frozen=True)
class SwimConfig:
    """The figures of a member, in microseconds where they are times."""

    period_us: int = 1_000_000  # between probes, at full health
    timeout_us: int = 400_000  # for a direct ack
    indirect_probes: int = 3  # go-betweens of an indirect probe
    suspicion_alpha: float = 4.0  # the least suspicion is alpha * log10(n) probe periods
    suspicion_beta: float = 6.0  # the most is beta times the least
    gossip_lambda: float = 4.0  # an update rides on lam * log10(n + 1) messages, rounded up
    sync_us: int = 5_000_000  # between full exchanges of the table
    max_health: int = 8  # Lifeguard's awareness: periods and time-outs scale by health + 1
    forget_us: int = 120_000_000  # how long the dead and those that left stay in the table


@dataclass
class Probe:
    """A probe of ours that is out."""

    target: str
    seq: int
    began_us: int
    direct_until_us: int
    ends_us: int
    asked: int = 0  # go-betweens asked
    nacks: int = 0
    acked: bool = False


@dataclass
class Relay:
    """A probe that we make for another member."""

    asker: str  # address
    seq: int  # the asker's
    nack_us: int
    done: bool = False


@dataclass
class Suspicion:
    began_us: int
    first: str  # who raised it; its copies are no confirmation
    confirmers: set = field(default_factory=set)


class SwimMember:
    """One member's view of the fleet."""

    def __init__(self, id_, address, seeds=(), tuning=None, rng=None, now_us=0, incarnation=0):
        self.id, self.address, self.tuning = id_, address, tuning or SwimConfig()
        self.seeds = [s for s in seeds if s != address]
        self.rng = rng or random.Random()
        self.incarnation = incarnation
        self.health = 0
        self.table = {id_: MemberRecord(id_, address, incarnation, MemberState.ALIVE, now_us)}
        self.gossip = {}  # id -> [row, by, sends left]
        self.order, self.turn = [], 0  # ids of the probe round, shuffled
        self.live = 0  # others alive or suspect
        self.down = set()  # ids of others dead or left
        self.probes = {}  # seq -> Probe
        self.relays = {}  # our seq -> Relay
        self.suspicions = {}  # id -> Suspicion
        self.seq = 0
        self.next_probe_us = now_us
        self.next_sync_us = now_us
        self.events = []
        self.leaving = False
        self.counts = {"sent": 0, "heard": 0}

    # --- what the table says ------------------------------------------------------------------------

    def others(self, *states):
        return [n for n in self.table.values() if n.id != self.id and n.state in states]

    def size(self):
        return 1 + self.live

    def _pick(self, count, avoid=(), states=(MemberState.ALIVE,)):
        """Up to `count` other members in `states`, drawn at random, none of `avoid`."""
        if len(self.order) <= 64:
            found = [n for n in self.others(*states) if n.id not in avoid]
            return self.rng.sample(found, min(count, len(found)))
        chosen = {}
        for _ in range(count * 8):
            node = self.table.get(self.order[self.rng.randrange(len(self.order))])
            if node is not None and node.state in states and node.id not in avoid:
                chosen[node.id] = node
                if len(chosen) == count:
                    break
        return list(chosen.values())

    def view(self):
        """The table as rows: id, address, state, incarnation, since."""
        return sorted(
            (
                {
                    "id": n.id,
                    "address": n.address,
                    "state": n.state,
                    "incarnation": n.incarnation,
                    "since_us": n.since_us,
                }
                for n in self.table.values()
            ),
            key=lambda row: row["id"],
        )

    def scaled(self, us):
        return us * (self.health + 1)

    def suspicion_us(self, confirmations):
        """Lifeguard's time-out: from the most down to the least as independent confirmations come."""
        t = self.tuning
        least = t.suspicion_alpha * max(1.0, math.log10(self.size())) * t.period_us
        most = t.suspicion_beta * least
        expected = max(1, min(t.suspicion_alpha - 2, self.size() - 2))
        fall = (most - least) * math.log(confirmations + 1) / math.log(expected + 1)
        return int(max(least, most - fall))

    # --- time ---------------------------------------------------------------------------------------

    def due_us(self):
        """When `tick` has something to do next."""
        times = [self.next_probe_us, self.next_sync_us]
        for p in self.probes.values():
            times.append(p.ends_us if p.asked or p.acked else p.direct_until_us)
        times += [r.nack_us for r in self.relays.values() if not r.done]
        times += [s.began_us + self.suspicion_us(len(s.confirmers)) for s in self.suspicions.values()]
        return min(times)

    def tick(self, now_us):
        """What is due by now; the messages to send."""
        out = []
        for seq, probe in list(self.probes.items()):
            if probe.acked:
                del self.probes[seq]
            elif now_us >= probe.ends_us:
                del self.probes[seq]
                self._failed(probe, now_us)
            elif not probe.asked and now_us >= probe.direct_until_us:
                out += self._ask_others(probe, now_us)
        for seq, relay in list(self.relays.items()):
            if not relay.done and now_us >= relay.nack_us:
                relay.done = True
                out.append((relay.asker, self._message(NACK, seq=relay.seq)))
            if now_us >= relay.nack_us + self.tuning.timeout_us:
                del self.relays[seq]
        for id_, suspicion in list(self.suspicions.items()):
            if now_us >= suspicion.began_us + self.suspicion_us(len(suspicion.confirmers)):
                node = self.table[id_]
                self._set(node, MemberState.DEAD, node.incarnation, now_us, self.id)
        if now_us >= self.next_probe_us:
            self.next_probe_us = now_us + self.scaled(self.tuning.period_us)
            out += self._probe(now_us)
        if now_us >= self.next_sync_us:
            alone = not self.live
            self.next_sync_us = now_us + (self.tuning.period_us if alone else self.tuning.sync_us)
            out += self._sync(now_us)
        self._forget(now_us)
        self.counts["sent"] += len(out)
        return out

    def _probe(self, now_us):
        if not self.live:
            return []
        for _ in range(2):
            while self.turn < len(self.order) and not self._live(self.order[self.turn]):
                self.turn += 1  # gone since the round was drawn
            if self.turn < len(self.order):
                break
            self.order = [n.id for n in self.others(MemberState.ALIVE, MemberState.SUSPECT)]
            self.rng.shuffle(self.order)
            self.turn = 0
        target = self.order[self.turn]
        self.turn += 1
        node = self.table[target]
        self.seq += 1
        timeout = self.scaled(self.tuning.timeout_us)
        ends = now_us + self.scaled(self.tuning.period_us)
        self.probes[self.seq] = Probe(target, self.seq, now_us, now_us + timeout, ends)
        return [(node.address, self._message(PING, seq=self.seq, to=target, first=target))]

    def _ask_others(self, probe, now_us):
        probe.asked = -1  # none to ask still counts as asked
        target = self.table.get(probe.target)
        chosen = self._pick(self.tuning.indirect_probes, avoid=(probe.target,))
        if not target or not chosen:
            return []
        probe.asked = len(chosen)
        ask = self._message(ASK, seq=probe.seq, to=target.id, to_at=target.address)
        return [(n.address, ask) for n in chosen]

    def _failed(self, probe, now_us):
        """No ack within the period: suspect; Lifeguard counts missed nacks against our own health."""
        if probe.asked > 0:
            self._health(max(0, probe.asked - probe.nacks))
        else:
            self._health(1)
        node = self.table.get(probe.target)
        if node and node.state == MemberState.ALIVE:
            self._set(node, MemberState.SUSPECT, node.incarnation, now_us, self.id)
        elif node and node.state == MemberState.SUSPECT:
            self._spread(node, self.id)  # our own failed probe: an independent confirmation for the others

    def _sync(self, now_us):
        """The whole table to one member; to seeds while we know nobody; now and then to one that is dead."""
        dead = [i for i in self.down if self.table[i].state == MemberState.DEAD]
        if not self.live and self.seeds:
            addresses = self.seeds
        elif dead and (not self.live or self.rng.random() < 0.5):
            addresses = [self.table[self.rng.choice(dead)].address]  # how two sides of a healed cut meet
        elif self.live:
            addresses = [n.address for n in self._pick(1, states=(MemberState.ALIVE, MemberState.SUSPECT))]
        else:
            return []
        return [(a, self._message(SYNC, table=self._rows(), reply=True)) for a in addresses]

    def _rows(self):
        """The table for a message; of one that would not fit, those that are down and a run of the others."""
        if len(self.table) <= MOST_ROWS:
            return [n.row() for n in self.table.values()]
        ids = [self.id] + self.rng.sample(sorted(self.down), min(len(self.down), MOST_ROWS // 4))
        start = self.rng.randrange(len(self.order))
        run = self.order[start : start + MOST_ROWS - len(ids)]
        run += self.order[: MOST_ROWS - len(ids) - len(run)]
        return [self.table[i].row() for i in dict.fromkeys(ids + run) if i in self.table]

    def _whole(self):
        """The whole table in as many parts as it takes, for a member that has just joined."""
        rows = [n.row() for n in self.table.values()]
        return [rows[n : n + MOST_ROWS] for n in range(0, len(rows), MOST_ROWS)]

    def _forget(self, now_us):
        for id_ in [i for i in self.down if now_us - self.table[i].since_us > self.tuning.forget_us]:
            del self.table[id_]
            self.gossip.pop(id_, None)
            self.down.discard(id_)

    def _live(self, id_):
        node = self.table.get(id_)
        return node is not None and node.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def _health(self, delta):
        self.health = max(0, min(self.tuning.max_health, self.health + delta))

    # --- messages -----------------------------------------------------------------------------------

    def _message(self, kind, first=None, **fields):
        message = {"t": kind, "from": self.id, "from_at": self.address, "inc": self.incarnation, **fields}
        message["up"] = self._piggyback(first)
        return message

    def _piggyback(self, first=None):
        """The updates that have been sent least, at most MOST_UPDATES; a suspicion of the target first."""
        chosen = sorted(self.gossip.items(), key=lambda item: (item[0] != first, -item[1][2]))[:MOST_UPDATES]
        rows = []
        if first in self.suspicions and first not in self.gossip:
            # Lifeguard's buddy system: whoever is suspected is told in every message to it, so that it
            # can refute though the rumour has been sent its number of times, none of them to it.
            rows.append(self.table[first].row() + [self.suspicions[first].first])
        for id_, entry in chosen:
            rows.append(entry[0] + [entry[1]])
            entry[2] -= 1
            if entry[2] <= 0:
                del self.gossip[id_]
        return rows

    def heard(self, message, now_us):
        """A message from another member; the messages to send in answer."""
        self.counts["heard"] += 1
        kind, sender = message["t"], message["from"]
        if sender == self.id:
            return []
        known = self.table.get(sender)
        joins = known is None
        if (
            known
            and known.state in (MemberState.DEAD, MemberState.LEFT)
            and message["inc"] <= known.incarnation
        ):
            self._spread(known, self.id)  # so that it hears of its end at once, and refutes
        self.apply([sender, message["from_at"], message["inc"], MemberState.ALIVE, sender], now_us)
        for row in message.get("up", ()):
            self.apply(row, now_us)
        out = []
        if kind == PING:
            if message.get("to") == self.id:
                out.append((message["from_at"], self._message(ACK, seq=message["seq"], first=sender)))
        elif kind == ACK:
            probe = self.probes.get(message["seq"])
            relay = self.relays.pop(message["seq"], None)
            if probe and not probe.acked:
                probe.acked = True
                if not probe.asked:
                    self._health(-1)
            elif relay:
                out.append((relay.asker, self._message(ACK, seq=relay.seq)))
        elif kind == NACK:
            probe = self.probes.get(message["seq"])
            if probe:
                probe.nacks += 1
        elif kind == ASK:
            self.seq += 1
            nack_us = now_us + int(self.tuning.timeout_us * NACK_SHARE)
            self.relays[self.seq] = Relay(message["from_at"], message["seq"], nack_us)
            out.append((message["to_at"], self._message(PING, seq=self.seq, to=message["to"])))
        elif kind == SYNC:
            for row in message["table"]:
                self.apply(list(row[:4]) + [sender], now_us, whole=True)
            if message.get("reply"):
                for table in self._whole() if joins else [self._rows()]:
                    out.append((message["from_at"], self._message(SYNC, table=table, reply=False)))
        self.counts["sent"] += len(out)
        return out

    def apply(self, row, now_us, whole=False):
        """One update `[id, address, incarnation, state, by]`, by SWIM's order of precedence."""
        id_, address, incarnation, state, by = row
        state = MemberState(state)
        if id_ == self.id:
            if (
                state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
                and incarnation >= self.incarnation
                and not self.leaving
            ):
                self.incarnation = incarnation + 1  # refute: a higher incarnation wins over any rumour
                self.table[self.id] = replace(self.table[self.id], incarnation=self.incarnation)
                self._health(1)
                self._spread(self.table[self.id], self.id)
                self.events.append(
                    {"event": "refuted", "of": state, "by": by, "incarnation": self.incarnation}
                )
            return
        node = self.table.get(id_)
        if node is None:
            if state in (MemberState.ALIVE, MemberState.SUSPECT):
                self._set(
                    MemberRecord(id_, address, incarnation, MemberState.DEAD, now_us),
                    state,
                    incarnation,
                    now_us,
                    by,
                )
            return
        if incarnation > node.incarnation or (
            incarnation == node.incarnation and PRECEDENCE[state] > PRECEDENCE[node.state]
        ):
            if (
                node.state in (MemberState.DEAD, MemberState.LEFT)
                and state == MemberState.SUSPECT
                and incarnation == node.incarnation
            ):
                return
            self._set(replace(node, address=address), state, incarnation, now_us, by)
        elif (
            state == MemberState.SUSPECT
            and node.state == MemberState.SUSPECT
            and incarnation == node.incarnation
            and not whole
        ):
            suspicion = self.suspicions.get(id_)
            if suspicion is not None and by not in suspicion.confirmers | {suspicion.first, self.id}:
                suspicion.confirmers.add(by)  # an independent confirmation shortens the time-out

    def _set(self, node, state, incarnation, now_us, by):
        changed = node.state != state
        was = node.state in (MemberState.ALIVE, MemberState.SUSPECT)
        since = now_us if changed else node.since_us
        node = self.table[node.id] = MemberRecord(node.id, node.address, incarnation, state, since)
        now = state in (MemberState.ALIVE, MemberState.SUSPECT)
        self.live += now - was
        if now:
            self.down.discard(node.id)
            if not was:  # a place in the round, at random, as SWIM's round-robin asks
                place = self.rng.randrange(len(self.order) + 1)
                self.order.insert(place, node.id)
                self.turn += place < self.turn
        else:
            self.down.add(node.id)
        if changed:
            self.events.append(
                {"event": "member", "id": node.id, "state": state, "incarnation": incarnation, "by": by}
            )
        if state == MemberState.SUSPECT:
            self.suspicions.setdefault(node.id, Suspicion(now_us, by))
        else:
            self.suspicions.pop(node.id, None)
        self._spread(node, by)

    def _spread(self, node, by):
        sends = math.ceil(self.tuning.gossip_lambda * math.log10(self.size() + 1))
        self.gossip[node.id] = [node.row(), by, max(1, sends)]

    def leave(self):
        """Say that we leave, to every member that lives; the messages."""
        self.leaving = True
        self.incarnation += 1
        me = self.table[self.id] = replace(
            self.table[self.id], state=MemberState.LEFT, incarnation=self.incarnation
        )
        self._spread(me, self.id)
        rows = [me.row() + [self.id]]
        message = {"t": SYNC, "from": self.id, "from_at": self.address, "inc": self.incarnation}
        message |= {"up": rows, "table": [], "reply": False}
        return [(n.address, message) for n in self.others(MemberState.ALIVE, MemberState.SUSPECT)]
