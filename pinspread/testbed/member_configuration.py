"""The addresses of a cluster test, and the configuration of each courier."""

import os
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

import orjson

from pinspread.config.template import template
from pinspread.testbed.cluster_scenario import GOSSIP_PORT, ClusterScenario, LeaseScenario

LEASES_PORT = 7947
REPLICATION_PORT = 7948
RESP_PORT, AMQP_PORT, ADMIN_PORT = 6379, 5672, 9600
RESOURCE_PORT = 9700
DESTINATION_PORT = 8080
PLATFORM_PORT = 8500
SEEDS = 2  # number of members, from the first, that are seeds of the others
QUOTA_PER_S = 300.0  # replaces the template's quota, so that the traffic stays within it
ZONE_FILE = "partners.zone"
# Each test bed takes the next block of addresses; processes start at different blocks.
_blocks = count(os.getpid() % 200 * 8)

Address = tuple[str, int]


class ClusterAddresses:
    """The addresses of one test bed, in a loopback network of its own.

    Attributes:
        prefix: The first three numbers of all its IPv4 addresses.
    """

    def __init__(self) -> None:
        block = next(_blocks)
        self.prefix = f"127.{20 + block // 250 % 200}.{block % 250}"

    def real(self, number: int) -> Address:
        """The address at which a member listens for gossip; its other ports are on the same host."""
        return f"{self.prefix}.{10 + number}", GOSSIP_PORT

    def advertised(self, number: int) -> Address:
        """The address of the proxy at which the other members reach a member."""
        return f"{self.prefix}.{100 + number}", GOSSIP_PORT

    @property
    def resource(self) -> Address:
        """The address of the resource on which the holders of tasks act."""
        return f"{self.prefix}.200", RESOURCE_PORT

    @property
    def destination(self) -> Address:
        """The address of the traffic's destination."""
        return f"{self.prefix}.201", DESTINATION_PORT

    @property
    def platform(self) -> Address:
        """The address to which notifications are sent."""
        return f"{self.prefix}.202", PLATFORM_PORT

    @property
    def stranger(self) -> str:
        """The host from which datagrams of non-members are sent."""
        return f"{self.prefix}.250"


@dataclass(frozen=True)
class ClockError:
    """The error of a member's clock: its offset, and its rate, of which 1 is right."""

    offset_ms: int = 0
    rate: float = 1.0


def member_id(number: int) -> str:
    """The id of a member."""
    return f"m{number}"


def member_configuration(
    scenario: ClusterScenario, addresses: ClusterAddresses, number: int, folder: Path, clock: ClockError
) -> str:
    """The text of a member's configuration file.

    Args:
        scenario: The scenario, with the settings of all members.
        addresses: The addresses of the test bed.
        number: The member's number.
        folder: The member's folder; the zone file is in its parent.
        clock: The error of the member's clock.
    """
    text = _template(addresses, number, folder) + _members_table(scenario, addresses, number, clock)
    if scenario.traffic:
        text = text.replace("127.0.0.1:8500", _join(addresses.platform))
        text = text.replace("quota_per_s = 30.0", f"quota_per_s = {QUOTA_PER_S}")
    host = addresses.real(number)[0]
    if scenario.replication is not None:
        settings = _settings(scenario.replication)
        text += f'\n[copies]\nlisten = "{host}:{REPLICATION_PORT}"\n{settings}'
    if scenario.leases is not None:
        voters = range(min(scenario.leases.voters, scenario.members))
        text += _leases_table(scenario.leases, addresses, number, voters)
    return text


def zone(scenario: ClusterScenario, addresses: ClusterAddresses) -> Iterator[str]:
    """The lines of the zone file of all couriers: the destination, and the seeds if found by DNS-SD."""
    yield "$TTL 60"
    service = scenario.service
    for number in range(min(SEEDS, scenario.members)) if service else ():
        id_ = member_id(number)
        yield f"{service} PTR {id_}.{service}"
        yield f"{id_}.{service} SRV 0 0 {GOSSIP_PORT} {id_}.members"
        yield f"{id_}.members A {addresses.advertised(number)[0]}"
    if scenario.traffic:
        host, port = addresses.destination
        yield "_http._tcp PTR p1._http._tcp"
        yield f"p1._http._tcp SRV 0 0 {port} p1"
        yield f'p1._http._tcp TXT "dest=1" "rate={scenario.traffic.limit}"'
        yield f"p1 A {host}"


def _template(addresses: ClusterAddresses, number: int, folder: Path) -> str:
    host = addresses.real(number)[0]
    text = template(member_id(number))
    for port in (RESP_PORT, AMQP_PORT, ADMIN_PORT):
        text = text.replace(f"127.0.0.1:{port}", f"{host}:{port}")
    text = text.replace('folder = "state"', f'folder = "{folder / "state"}"')
    return text.replace('zone_file = "partners.zone"', f'zone_file = "{folder.parent / ZONE_FILE}"')


def _members_table(
    scenario: ClusterScenario, addresses: ClusterAddresses, number: int, clock: ClockError
) -> str:
    others = [n for n in range(min(SEEDS, scenario.members)) if n != number]
    seeds = [] if scenario.service else [_join(addresses.advertised(n)) for n in others]
    return (
        f'\n[members]\nid = "{member_id(number)}"\nlisten = "{_join(addresses.real(number))}"\n'
        f'advertise = "{_join(addresses.advertised(number))}"\nseeds = {orjson.dumps(seeds).decode()}\n'
        f'fleet = "{scenario.fleet}"\nservice = "{scenario.service}"\nclock_offset_ms = {clock.offset_ms}\n'
        f"clock_rate = {clock.rate}\n{_settings(scenario.tuning)}"
    )


def _leases_table(
    leases: LeaseScenario, addresses: ClusterAddresses, number: int, voters: Iterable[int]
) -> str:
    lines = ["", "[leases]", f'listen = "{addresses.real(number)[0]}:{LEASES_PORT}"']
    lines.append(f'advertise = "{addresses.advertised(number)[0]}:{LEASES_PORT}"')
    lines += [f"{key} = {value}" for key, value in leases.settings.items()]
    for voter in voters:
        address = f"{addresses.advertised(voter)[0]}:{LEASES_PORT}"
        lines += ["[[leases.voter]]", f'id = "{member_id(voter)}"', f'address = "{address}"']
    for task in leases.tasks:
        lines += ["[[leases.task]]", f'name = "{task}"', f"every_s = {leases.act_s}"]
        lines.append(f'address = "{_join(addresses.resource)}"')
    return "\n".join(lines) + "\n"


def _settings(settings: Mapping[str, Any]) -> str:
    """The lines of a TOML table with these settings."""
    return "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in settings.items())


def _join(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
