"""The stage's fault proxy for datagrams between couriers, and the rules that it keeps for each directed pair.

Member `i` binds `real(i)` and is reached by the others at `front(i)`, where the proxy listens. A datagram that
comes to `front(i)` from `real(j)` goes `j -> i` and meets that pair's rule: lost (a share, or all of it on a
cut), held a while (delay plus jitter, which also reorders), sent twice. What comes from an address that is no
member's passes unchanged, so that a stranger's garbage reaches the member as it was sent.
"""

import asyncio
import random
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Rule:
    """What happens to datagrams of one directed pair; times in seconds."""

    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


CALM = Rule()


class Rules:
    """The rule of each directed pair, as faults set and heal them; `groups` cuts all pairs across groups."""

    def __init__(self, members):
        self.members = list(members)
        self.pairs = {}  # (from, to) -> Rule
        self.groups = None  # list of sets, or None

    def of(self, source, to):
        rule = self.pairs.get((source, to), CALM)
        if self.groups and not any(source in g and to in g for g in self.groups):
            rule = replace(rule, cut=True)
        return rule

    def pairs_of(self, sources, tos):
        return [(a, b) for a in sources or self.members for b in tos or self.members if a != b]

    def change(self, sources=(), tos=(), **what):
        """Set fields of the rules from `sources` to `tos` (all members where empty)."""
        for pair in self.pairs_of(sources, tos):
            self.pairs[pair] = replace(self.pairs.get(pair, CALM), **what)

    def split(self, groups):
        """Only members of one group hear each other; members named in no group form one more."""
        named = set().union(*groups)
        rest = {m for m in self.members if m not in named}
        self.groups = [set(g) for g in groups] + ([rest] if rest else [])

    def heal(self):
        """No fault from here on."""
        self.pairs.clear()
        self.groups = None


class _Front(asyncio.DatagramProtocol):
    def __init__(self, proxy, to):
        self.proxy, self.to = proxy, to
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.proxy.passing(self, data, source[0])


class Proxy:
    """One socket a member; `counts` says what was passed, lost, doubled, by pair."""

    def __init__(self, rules: Rules, real: dict, front: dict, seed=0):
        self.rules, self.real, self.front = rules, real, front  # member -> (host, port)
        self.by_host = {address[0]: member for member, address in real.items()}
        self.rng = random.Random(seed)
        self.sockets = []
        self.counts = {"passed": 0, "lost": 0, "doubled": 0, "strangers": 0}

    async def open(self):
        """Listen at every member's front; OSError if an address is taken."""
        loop = asyncio.get_running_loop()
        for member, address in self.front.items():
            transport, _ = await loop.create_datagram_endpoint(lambda m=member: _Front(self, m), address)
            self.sockets.append(transport)

    def close(self):
        for transport in self.sockets:
            transport.close()

    def passing(self, front, data, host):
        source = self.by_host.get(host)
        to = self.real[front.to]
        if source is None:
            self.counts["strangers"] += 1
            front.transport.sendto(data, to)
            return
        rule = self.rules.of(source, front.to)
        if rule.cut or self.rng.random() < rule.loss:
            self.counts["lost"] += 1
            return
        copies = 2 if self.rng.random() < rule.duplicate else 1
        self.counts["doubled"] += copies - 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            self.counts["passed"] += 1
            wait = rule.delay_s + self.rng.random() * rule.jitter_s
            if wait > 0:
                loop.call_later(wait, _send, front.transport, data, to)
            else:
                front.transport.sendto(data, to)


def _send(transport, data, to):
    if not transport.is_closing():
        transport.sendto(data, to)
