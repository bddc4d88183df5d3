"""Discovery of endpoints by DNS-SD (RFC 6763), from a zone file or a server; also the node's own records.

An instance's TXT record names its destination (`dest`). It may also give `rate` (how many calls per second
the destination accepts), `kind`, `state=draining`, and for brokers `exchange`, `routing_key` and `vhost`.
"""

from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
from typing import Any, NamedTuple, cast

import anyio
import anyio.to_thread
import dns.exception
import dns.name
import dns.rdatatype
import dns.resolver
import dns.zone

from pinspread.config.models import File
from pinspread.config.settings import EffectiveSettings
from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.message_fields import MAX_DESTINATION
from pinspread.core.messages import Endpoint
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.sockets import split_address

QUERY_TIMEOUT_S = 2.0
MAX_QUERIES = 8  # to a server at a time
MIN_PAUSE_S = 0.5  # between two looks at the records of a server that answers slowly
ROUTE_KEYS = ("exchange", "routing_key", "vhost")
MAX_RATE_PER_S = 1e6  # in calls per second; a rate must be lower than this

FoundEndpoint = tuple[Endpoint, EndpointState]


class Records:
    """Looks up DNS records, in a zone file that `refresh` reads again, or at a server."""

    def __init__(self, domain: str, zone_file: str = "", server: str = "") -> None:
        self.domain = dns.name.from_text(domain)
        self.zone_file = zone_file
        self.zone: dns.zone.Zone | None = None
        if server:
            host, port = split_address(server)
            self.resolver = dns.resolver.Resolver(configure=False)
            self.resolver.nameservers = [host]
            self.resolver.port = port
            self.resolver.lifetime = QUERY_TIMEOUT_S

    def refresh(self) -> None:
        """Read the zone file, if there is one.

        Raises:
            OSError, ValueError, DNSException: The file cannot be read, or is not a valid zone.
        """
        if self.zone_file:
            with open(self.zone_file) as file:
                self.zone = dns.zone.from_file(file, self.domain, relativize=False, check_origin=False)

    def ask(self, name: dns.name.Name, kind: str) -> list[Any]:
        """Look up the records of a type (`kind`); empty if the name has none.

        Raises:
            DNSException: The server does not answer.
        """
        if self.zone_file:
            return self._from_zone(name, kind)
        try:
            return list(self.resolver.resolve(name, kind, search=False))
        except (dns.resolver.NXDOMAIN, dns.resolver.NoAnswer):
            return []

    def _from_zone(self, name: dns.name.Name, kind: str) -> list[Any]:
        if self.zone is None or not name.is_subdomain(self.domain):
            return []
        return list(self.zone.get_rdataset(name, kind) or ())


def text_pairs(rdata: Any) -> dict[str, str]:
    """A TXT record's key-value pairs: keys in lower case, the first of equal keys counts (RFC 6763, 6.4)."""
    first_values: dict[str, str] = {}
    for string in rdata.strings:
        name, _, value = string.decode("utf-8", "replace").partition("=")
        if name and name.lower() not in first_values:
            first_values[name.lower()] = value
    return first_values


def browse(records: Records, services: Sequence[str], kinds: Mapping[str, int]) -> list[FoundEndpoint]:
    """Find all instances of the services, with their states. A malformed instance is logged and left out.

    Several instances are looked up at a time: one after the other, a server that takes a moment for each
    answer would delay the news of a removed endpoint by seconds.

    Raises:
        OSError, ValueError, DNSException: The records cannot be read or looked up.
    """
    records.refresh()
    names: list[dns.name.Name] = []
    schemes: list[str] = []
    for service in services:
        pointers = records.ask(dns.name.from_text(service, records.domain), "PTR")
        names += [pointer.target for pointer in pointers]
        schemes += [service.split(".")[0].removeprefix("_")] * len(pointers)
    pool = ThreadPoolExecutor(MAX_QUERIES)
    try:
        found = list(pool.map(partial(_well_formed, records, kinds), names, schemes))
    finally:
        pool.shutdown(cancel_futures=True)
    return [endpoint for endpoint in found if endpoint is not None]


def _well_formed(
    records: Records, kinds: Mapping[str, int], name: dns.name.Name, scheme: str
) -> FoundEndpoint | None:
    """Look up one instance; None, and a line in the log, if it is malformed."""
    try:
        return _instance(records, name, scheme, kinds)
    except ValueError as error:
        log("malformed_instance", instance=str(name), error=str(error))
        return None


def _instance(records: Records, name: dns.name.Name, scheme: str, kinds: Mapping[str, int]) -> FoundEndpoint:
    """Look up one instance; ValueError if its records are missing or malformed."""
    services = records.ask(name, "SRV")
    if not services:
        raise ValueError("instance has no SRV record")
    service = min(services, key=lambda record: (record.priority, -record.weight))
    texts = records.ask(name, "TXT")
    pairs = text_pairs(texts[0]) if texts else {}
    destination, rate_per_s = _destination(pairs), _rate(pairs)
    addresses = records.ask(service.target, "A")
    if not addresses:
        raise ValueError(f"SRV target {service.target} has no A record")
    endpoint = Endpoint(
        id=str(name),
        address=f"{addresses[0].address}:{service.port}",
        destination=destination,
        scheme="amqp" if scheme == "amqp" else "http",
        route={key: pairs[key] for key in ROUTE_KEYS if key in pairs},
        weight=rate_per_s,
        kind=kinds.get(pairs.get("kind", ""), 0),
    )
    draining = pairs.get("state") == "draining"
    return endpoint, EndpointState.DRAINING if draining else EndpointState.READY


def _destination(pairs: dict[str, str]) -> int:
    text = pairs.get("dest", "")
    if not (text.isascii() and text.isdigit() and int(text) <= MAX_DESTINATION):
        raise ValueError(f"TXT: dest must be a number up to {MAX_DESTINATION}, not {text!r}")
    return int(text)


def _rate(pairs: dict[str, str]) -> float:
    try:
        rate_per_s = float(pairs.get("rate", "1"))
    except ValueError:
        rate_per_s = 0.0
    if not 0 < rate_per_s < MAX_RATE_PER_S:
        raise ValueError(f"TXT: rate must be above 0 and below {MAX_RATE_PER_S:g}, not {pairs['rate']!r}")
    return rate_per_s


class DnsSdSource(NamedTuple):
    """Where endpoints are discovered.

    Attributes:
        records: The records.
        services: The services whose instances are endpoints.
        refresh_s: The interval between two looks at the records, in seconds.
    """

    records: Records
    services: Sequence[str]
    refresh_s: float


class DnsSdDiscovery:
    """Keeps the engine's list of endpoints up to date from DNS-SD (implements `core.ports.Discovery`)."""

    def __init__(self, engine: DeliveryEngine, source: DnsSdSource) -> None:
        self.engine = engine
        self.source = source
        self.last: list[FoundEndpoint] | None = None
        self.first_answer = anyio.Event()

    def start(self) -> None:
        """Do nothing, since no endpoint is known before the first answer."""

    def snapshot(self) -> dict[str, Any]:
        """Return an empty snapshot, since another process reads the records itself."""
        return {}

    def resume(self, discovery_state: dict[str, Any]) -> None:
        """Do nothing, since the records are read anyway."""

    def poll(self) -> None:
        """Answer the policy's poll with no changes; changes come with the next refresh."""
        self.engine.update_endpoints(UpdateScope.DELTA, [])

    def apply_settings(self, settings: EffectiveSettings) -> None:
        """Do nothing, since the next refresh reads the kinds from the engine's settings."""

    def change_address(self, source: DnsSdSource) -> None:
        """Use another source from the next refresh on."""
        self.source = source

    async def run(self) -> None:
        """Refresh the list until cancelled; if the records cannot be read, the list stays as it was."""
        while True:
            start_s = anyio.current_time()
            try:
                await self._refresh()
            except (OSError, ValueError, dns.exception.DNSException) as error:
                log("discovery_failed", error=str(error) or type(error).__name__)
            self.first_answer.set()
            # The interval is from start to start, so that a change is known one interval and one look later.
            refresh_s = self.source.refresh_s
            elapsed_s = anyio.current_time() - start_s
            await anyio.sleep(max(refresh_s - elapsed_s, min(refresh_s, MIN_PAUSE_S)))

    async def _refresh(self) -> None:
        kinds = cast(EffectiveSettings, self.engine.settings).kinds
        discovered = await anyio.to_thread.run_sync(
            browse, self.source.records, self.source.services, kinds, abandon_on_cancel=True
        )
        if discovered == self.last:
            return
        self.last = discovered
        # The engine marks endpoints as not usable in place, but the next comparison needs them as they were
        # read, so the engine is given copies.
        endpoints = [(replace(endpoint), state) for endpoint, state in discovered]
        self.engine.update_endpoints(UpdateScope.FULL, endpoints)
        log("endpoint_list", scope="FULL", endpoints=len(discovered))


def node_records(file: File) -> str:
    """The records by which others find this node, as lines of a zone file."""
    name, domain = file.application.name, file.discovery.domain
    lines = [f"$ORIGIN {domain}", "$TTL 60"]
    for service, address in (("_pinspread._tcp", file.listen.resp), ("_amqp._tcp", file.listen.amqp)):
        if address:
            _, port = split_address(address)
            lines += _service_lines(service, f"{name}.{service}", port, name, f"app={name}")
    lines += _member_lines(file)
    hosts = {split_address(address)[0] for address in (file.listen.resp, file.listen.amqp) if address}
    lines += [f"{name} A {host}" for host in sorted(hosts)]
    return "\n".join(lines) + "\n"


def _member_lines(file: File) -> Iterator[str]:
    """The records by which other members find this member as a seed."""
    members = file.members
    if not members or not members.service:
        return
    host, port = split_address(members.advertise or members.listen)
    target = f"{members.id}.members"
    instance = f"{members.id}.{members.service}"
    yield from _service_lines(members.service, instance, port, target, f"fleet={members.fleet}")
    yield f"{target} A {host}"


def _service_lines(service: str, instance: str, port: int, target: str, text: str) -> list[str]:
    return [
        f"_services._dns-sd._udp PTR {service}",
        f"{service} PTR {instance}",
        f"{instance} SRV 0 0 {port} {target}",
        f'{instance} TXT "txtvers=1" "{text}"',
    ]
