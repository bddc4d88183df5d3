"""A proxy between the couriers of a cluster's test, and the rules that it keeps for each directed pair.

Member `i` binds `real(i)` and is reached by the others at `front(i)`, where the proxy listens. A datagram
that comes to `front(i)` from `real(j)` goes `j -> i` and meets that pair's rule: lost (a share, or all of
it on a cut), delayed (with jitter, which also reorders), sent twice. What comes from an address that is no
member's passes unchanged, so that a stranger's garbage reaches the member as it was sent.

Streams (TCP) go the same way through `front(i)` at the ports that `open_streams` names, the sender known by
the address that its connection comes from: a cut or a split closes the connection at its next bytes and
refuses new ones; delay and jitter hold each chunk; loss and duplicates are left to TCP, which hides them.
"""

import asyncio
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, cast

CHUNK_BYTES = 65_536
Address = tuple[str, int]


@dataclass(frozen=True)
class LinkRule:
    """What happens on the way from one member to another.

    Attributes:
        loss: Share of the datagrams that is lost.
        delay_s: How long datagrams and chunks of streams are held.
        jitter_s: The most that chance adds to it.
        duplicate: Share of the datagrams that is sent twice.
        cut: Whether nothing passes.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


NO_FAULT = LinkRule()


class LinkRules:
    """The rule of each directed pair of members, as faults set and heal them."""

    def __init__(self, members: Iterable[str]) -> None:
        self.members = list(members)
        self._pairs: dict[tuple[str, str], LinkRule] = {}
        self._groups: list[set[str]] = []  # where there are any, all pairs across them are cut

    def between(self, source: str, target: str) -> LinkRule:
        """The rule from one member to another."""
        rule = self._pairs.get((source, target), NO_FAULT)
        if self._groups and not any(source in group and target in group for group in self._groups):
            rule = replace(rule, cut=True)
        return rule

    def change(self, sources: Iterable[str] = (), targets: Iterable[str] = (), **fields: Any) -> None:
        """Set fields of the rules from `sources` to `targets`; from or to all members where empty."""
        targets = list(targets) or self.members
        for source in list(sources) or self.members:
            for target in targets:
                if source != target:
                    rule = self._pairs.get((source, target), NO_FAULT)
                    self._pairs[source, target] = replace(rule, **fields)

    def split(self, groups: Iterable[Iterable[str]]) -> None:
        """Let only members of one group reach each other; members named in no group form one more."""
        named = [set(group) for group in groups]
        rest = set(self.members).difference(*named)
        self._groups = [*named, rest] if rest else named

    def heal(self) -> None:
        """End all faults."""
        self._pairs.clear()
        self._groups = []


class _Front(asyncio.DatagramProtocol):
    """The socket at which the others reach one port of a member."""

    def __init__(self, proxy: "Proxy", member: str, port: int) -> None:
        self.proxy = proxy
        self.member = member
        self.port = port
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Python 3.11 gives a transport that is not declared as a DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        if self.transport is not None:
            self.proxy.forward(self.transport, data, source[0], self.member, self.port)


class Proxy:
    """Forwards datagrams and streams between members by their rules.

    Attributes:
        counts: Datagrams that were passed, lost, doubled and from strangers; streams reset and refused.
    """

    def __init__(
        self,
        rules: LinkRules,
        real: Mapping[str, Address],
        fronts: Mapping[str, Address],
        seed: int = 0,
    ) -> None:
        """Create a proxy for members with these real addresses and fronts."""
        self.rules = rules
        self.real = real
        self.fronts = fronts
        self._by_host = {address[0]: member for member, address in real.items()}
        self._rng = random.Random(seed)
        self._sockets: list[asyncio.BaseTransport | asyncio.Server] = []
        self.counts = {"passed": 0, "lost": 0, "doubled": 0, "strangers": 0}

    async def open(self, more_ports: Iterable[int] = ()) -> None:
        """Listen for datagrams at every member's front, on further ports of it too.

        Raises:
            OSError: An address is taken.
        """
        loop = asyncio.get_running_loop()
        more_ports = list(more_ports)
        for member, (host, gossip_port) in self.fronts.items():
            for port in (gossip_port, *more_ports):
                protocol = partial(_Front, self, member, port)
                transport, _ = await loop.create_datagram_endpoint(protocol, (host, port))
                self._sockets.append(transport)

    async def open_streams(self, ports: Iterable[int]) -> None:
        """Listen for TCP at every member's front, on each of these ports.

        Raises:
            OSError: An address is taken.
        """
        ports = list(ports)
        for member, (host, _) in self.fronts.items():
            for port in ports:
                serve = partial(self._forward_stream, member, port)
                self._sockets.append(await asyncio.start_server(serve, host, port))

    def close(self) -> None:
        """Stop listening."""
        for listening in self._sockets:
            listening.close()

    def forward(
        self, transport: asyncio.DatagramTransport, data: bytes, host: str, member: str, port: int
    ) -> None:
        """Forward a datagram from `host` to a port of a member, by the rule of the pair."""
        address = (self.real[member][0], port)
        source = self._by_host.get(host)
        if source is None:
            self.counts["strangers"] += 1
            transport.sendto(data, address)
            return
        rule = self.rules.between(source, member)
        if rule.cut or self._rng.random() < rule.loss:
            self.counts["lost"] += 1
            return
        copies = 2 if self._rng.random() < rule.duplicate else 1
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            self.counts["passed"] += 1
            wait_s = self._delay_s(rule)
            if wait_s > 0:
                asyncio.get_running_loop().call_later(wait_s, _send, transport, data, address)
            else:
                transport.sendto(data, address)

    def _delay_s(self, rule: LinkRule) -> float:
        return rule.delay_s + self._rng.random() * rule.jitter_s

    async def _forward_stream(
        self, member: str, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a connection to a port of a member, both ways."""
        source = self._by_host.get(writer.get_extra_info("peername")[0])
        if source is not None and self.rules.between(source, member).cut:
            self._count("refused")
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.real[member][0], port)
        except OSError:
            writer.close()
            return
        there = (source, member) if source is not None else None
        back = (member, source) if source is not None else None
        await asyncio.gather(
            self._pump(reader, far_writer, there, writer),
            self._pump(far_reader, writer, back, far_writer),
            return_exceptions=True,
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: tuple[str, str] | None,
        other: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction by its rule, chunk by chunk; at a cut or its end close both sides.

        Args:
            reader: Where the chunks come from.
            writer: Where they go.
            pair: Source and target, None for a stranger's connection.
            other: The writer of the other direction.
        """
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                rule = self.rules.between(*pair) if pair is not None else NO_FAULT
                if rule.cut:
                    self._count("reset")
                    break
                wait_s = self._delay_s(rule)
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            other.close()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


def _send(transport: asyncio.DatagramTransport, data: bytes, address: Address) -> None:
    """Send a delayed datagram, if the proxy is still open."""
    if not transport.is_closing():
        transport.sendto(data, address)
