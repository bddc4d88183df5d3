"""The stage's fault proxy for datagrams between couriers, and the rules that it keeps for each directed
pair.

Member `i` binds `real(i)` and is reached by the others at `front(i)`, where the proxy listens. A datagram
that comes to `front(i)` from `real(j)` goes `j -> i` and meets that pair's rule: lost (a share, or all of
it on a cut), held a while (delay plus jitter, which also reorders), sent twice. What comes from an address
that is no member's passes unchanged, so that a stranger's garbage reaches the member as it was sent.

Streams (TCP) go the same way through `front(i)` at the ports that `open_streams` names, the sender known by
the address that its connection comes from: a cut or a split closes the connection at its next bytes and
refuses new ones; delay and jitter hold each chunk; loss and duplicates are left to TCP, which hides them.
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
    def __init__(self, proxy, to, port):
        self.proxy, self.to, self.port = proxy, to, port
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

    async def open(self, more_ports=()):
        """Listen at every member's front, on further ports too; OSError if an address is taken."""
        loop = asyncio.get_running_loop()
        for member, (host, first) in self.front.items():
            for port in (first, *more_ports):
                transport, _ = await loop.create_datagram_endpoint(
                    lambda m=member, p=port: _Front(self, m, p), (host, port)
                )
                self.sockets.append(transport)

    async def open_streams(self, ports):
        """Listen for TCP at every member's front on each of `ports`; OSError if one is taken."""
        for member, (host, _) in self.front.items():
            for port in ports:
                server = await asyncio.start_server(
                    lambda r, w, m=member, p=port: self._stream(r, w, m, p), host, port
                )
                self.sockets.append(server)

    async def _stream(self, reader, writer, to, port):
        source = self.by_host.get(writer.get_extra_info("peername")[0])
        if source is not None and self.rules.of(source, to).cut:
            self.counts["refused"] = self.counts.get("refused", 0) + 1
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.real[to][0], port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, far_writer, source, to, writer),
            self._pump(far_reader, writer, to, source, far_writer),
            return_exceptions=True,
        )

    async def _pump(self, reader, writer, source, to, other):
        """One direction, chunk by chunk, under the rule of the moment; closes both ends at a cut or the end."""
        try:
            while chunk := await reader.read(65_536):
                rule = self.rules.of(source, to) if source is not None and to is not None else CALM
                if rule.cut:
                    self.counts["reset"] = self.counts.get("reset", 0) + 1
                    break
                wait = rule.delay_s + self.rng.random() * rule.jitter_s
                if wait > 0:
                    await asyncio.sleep(wait)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            other.close()

    def close(self):
        for transport in self.sockets:
            transport.close()

    def passing(self, front, data, host):
        source = self.by_host.get(host)
        to = (self.real[front.to][0], front.port)
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
