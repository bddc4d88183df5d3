"""Seeds by DNS-SD: the addresses at which members of the fleet are to be found (RFC 6763).

An instance of the service has an SRV record whose target has an A record; the port is membership's.
"""

from typing import Any, Protocol

import dns.exception
import dns.name

from pinspread.core.log import log


class Records(Protocol):
    """What is asked for DNS records: see `config.dnssd.Records`."""

    domain: dns.name.Name

    def refresh(self) -> None:
        """Read the records anew where they are in a file."""

    def ask(self, name: dns.name.Name, kind: str) -> list[Any]:
        """Return the records of a name that are of a kind."""


def find_seeds(records: Records, service: str) -> list[str]:
    """Return `host:port` of each instance of a service; one without SRV or A record is logged and left out.

    Raises:
        OSError, ValueError, DNSException: No server has answered.
    """
    records.refresh()
    addresses = []
    for pointer in records.ask(dns.name.from_text(service, records.domain), "PTR"):
        services = records.ask(pointer.target, "SRV")
        hosts = records.ask(services[0].target, "A") if services else []
        if not hosts:
            log("malformed_instance", instance=str(pointer.target), error="no SRV, or no A for its target")
            continue
        addresses.append(f"{hosts[0].address}:{services[0].port}")
    return sorted(addresses)


def find_seeds_or_none(records: Records, service: str) -> list[str] | None:
    """Return what `find_seeds` does, or None with a log line where no server answers."""
    try:
        return find_seeds(records, service)
    except (OSError, ValueError, dns.exception.DNSException) as error:
        log("seeds_failed", service=service, error=str(error) or type(error).__name__)
        return None
