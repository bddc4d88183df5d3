"""Discovery of seeds by DNS-SD (RFC 6763): the addresses of members of the fleet.

Each instance of the service has an SRV record with the port of membership, whose target has an A record.
"""

from typing import Any, Protocol

import dns.exception
import dns.name

from pinspread.core.log import log


class Records(Protocol):
    """A source of DNS records; `config.dnssd.Records` implements it."""

    domain: dns.name.Name

    def refresh(self) -> None:
        """Read the records again if they come from a file."""

    def ask(self, name: dns.name.Name, kind: str) -> list[Any]:
        """Return the records of a name that are of the type `kind`, such as `SRV`."""


def find_seeds(records: Records, service: str) -> list[str]:
    """Return `host:port` of each instance of a service; one without SRV or A record is logged and left out.

    Raises:
        OSError, ValueError, DNSException: The records cannot be read, or no DNS server has answered.
    """
    records.refresh()
    addresses = []
    for pointer in records.ask(dns.name.from_text(service, records.domain), "PTR"):
        services = records.ask(pointer.target, "SRV")
        hosts = records.ask(services[0].target, "A") if services else []
        if not hosts:
            log(
                "malformed_instance",
                instance=str(pointer.target),
                error="no SRV record, or no A record for its target",
            )
            continue
        addresses.append(f"{hosts[0].address}:{services[0].port}")
    return sorted(addresses)


def find_seeds_or_none(records: Records, service: str) -> list[str] | None:
    """Return the result of `find_seeds`; if it raises an error, log that and return None."""
    try:
        return find_seeds(records, service)
    except (OSError, ValueError, dns.exception.DNSException) as error:
        log("seeds_failed", service=service, error=str(error) or type(error).__name__)
        return None
