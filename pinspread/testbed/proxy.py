"""A proxy between the couriers of a cluster test, and the faults that it applies to each directed pair.

Member `i` listens at `real[i]`; the others reach it at `advertised[i]`, where the proxy listens. To a
datagram that arrives at `advertised[i]` from the host of `real[j]` the proxy applies the rule of the pair
`j -> i`: it drops the datagram (a share of them, or all during a cut), delays it (with jitter, which also
reorders) or sends it twice. A datagram from any other host is forwarded unchanged, so that a stranger's
garbage reaches the member as it was sent.

Streams (TCP) are forwarded in the same way, at the ports given to `open_streams`; the source is known by the
host that the connection comes from. A cut or a split closes a connection at its next bytes and refuses new
ones. Delay and jitter hold each chunk. Loss and duplicates do not apply, as TCP hides them.
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
    """The faults on the link from one member to another.

    Attributes:
        loss: Share of the datagrams that are dropped.
        delay_s: How long datagrams and chunks of streams are held.
        jitter_s: Maximum of the random time added to `delay_s`.
        duplicate: Share of the datagrams that are sent twice.
        cut: Whether everything is dropped.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


NO_FAULT = LinkRule()


class LinkRules:
    """The rule of each directed pair of members."""

    def __init__(self, members: Iterable[str]) -> None:
        self.members = list(members)
        self._pairs: dict[tuple[str, str], LinkRule] = {}
        self._groups: list[set[str]] = []  # of a split; all links between different groups are cut

    def between(self, source: str, target: str) -> LinkRule:
        """The rule of the link from one member to another."""
        rule = self._pairs.get((source, target), NO_FAULT)
        if self._groups and not any(source in group and target in group for group in self._groups):
            rule = replace(rule, cut=True)
        return rule

    def change(self, sources: Iterable[str] = (), targets: Iterable[str] = (), **fields: Any) -> None:
        """Set fields of the rules from `sources` to `targets`; an empty one means all members."""
        targets = list(targets) or self.members
        for source in list(sources) or self.members:
            for target in targets:
                if source != target:
                    rule = self._pairs.get((source, target), NO_FAULT)
                    self._pairs[source, target] = replace(rule, **fields)

    def split(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut all links between different groups; members in no given group form another one."""
        named = [set(group) for group in groups]
        rest = set(self.members).difference(*named)
        self._groups = [*named, rest] if rest else named

    def heal(self) -> None:
        """Remove all faults."""
        self._pairs.clear()
        self._groups = []


class _DatagramListener(asyncio.DatagramProtocol):
    """The socket of the proxy at which the other members reach one port of a member."""

    def __init__(self, proxy: "Proxy", member: str, port: int) -> None:
        self.proxy = proxy
        self.member = member
        self.port = port
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # In Python 3.11 the transport that is passed is not declared as a DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        if self.transport is not None:
            self.proxy.forward(self.transport, data, source[0], self.member, self.port)


class Proxy:
    """Forwards datagrams and streams between members, and applies the rules of their links.

    Attributes:
        counts: Numbers of datagrams passed, lost, doubled and from strangers; of streams reset and refused.
    """

    def __init__(
        self,
        rules: LinkRules,
        real: Mapping[str, Address],
        advertised: Mapping[str, Address],
        seed: int = 0,
    ) -> None:
        """Create a proxy.

        Args:
            rules: The faults of each link.
            real: The address at which each member listens.
            advertised: The address at which the proxy listens for each member.
            seed: Seed of the random numbers.
        """
        self.rules = rules
        self.real = real
        self.advertised = advertised
        self._by_host = {address[0]: member for member, address in real.items()}
        self._rng = random.Random(seed)
        self._sockets: list[asyncio.BaseTransport | asyncio.Server] = []
        self.counts = {"passed": 0, "lost": 0, "doubled": 0, "strangers": 0}

    async def open(self, more_ports: Iterable[int] = ()) -> None:
        """Listen for datagrams at every member's advertised address, and at `more_ports` of its host.

        Raises:
            OSError: An address is in use.
        """
        loop = asyncio.get_running_loop()
        more_ports = list(more_ports)
        for member, (host, gossip_port) in self.advertised.items():
            for port in (gossip_port, *more_ports):
                protocol = partial(_DatagramListener, self, member, port)
                transport, _ = await loop.create_datagram_endpoint(protocol, (host, port))
                self._sockets.append(transport)

    async def open_streams(self, ports: Iterable[int]) -> None:
        """Listen for TCP at the host of every member's advertised address, on each of `ports`.

        Raises:
            OSError: An address is in use.
        """
        ports = list(ports)
        for member, (host, _) in self.advertised.items():
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
        """Forward a datagram from `host` to a port of a member, and apply the rule of the link."""
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
        """Forward a connection to a port of a member, in both directions."""
        source = self._by_host.get(writer.get_extra_info("peername")[0])
        if source is not None and self.rules.between(source, member).cut:
            self._count("refused")
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(self.real[member][0], port)
        except OSError:
            writer.close()
            return
        forward_pair = (source, member) if source is not None else None
        return_pair = (member, source) if source is not None else None
        await asyncio.gather(
            self._forward_direction(reader, target_writer, forward_pair, writer),
            self._forward_direction(target_reader, writer, return_pair, target_writer),
            return_exceptions=True,
        )

    async def _forward_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: tuple[str, str] | None,
        other: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction of a connection by its rule; close both sides on a cut or at its end.

        Args:
            reader: The stream that is read.
            writer: The stream to which its bytes are written.
            pair: Source and target member; None for a connection of a stranger.
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

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _send(transport: asyncio.DatagramTransport, data: bytes, address: Address) -> None:
    """Send a delayed datagram if the proxy is still open."""
    if not transport.is_closing():
        transport.sendto(data, address)
