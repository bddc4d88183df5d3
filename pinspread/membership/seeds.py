"""Seeds by DNS-SD: the addresses under which members of the fleet are to be found (RFC 6763).

An instance of the service has an SRV record whose target has an A record; the port is membership's.
"""

import dns.exception
import dns.name

from pinspread.core.log import log


def find(records, service: str) -> list[str]:
    """`host:port` of each instance of `service`; one without SRV or A is left out, with a log line.

    `records` answers as `config.dnssd.Records` does. OSError, ValueError or DNSException if nobody answers.
    """
    records.refresh()
    found = []
    for pointer in records.ask(dns.name.from_text(service, records.domain), "PTR"):
        services = records.ask(pointer.target, "SRV")
        hosts = records.ask(services[0].target, "A") if services else []
        if not hosts:
            log("malformed_instance", instance=str(pointer.target), error="no SRV, or no A for its target")
            continue
        found.append(f"{hosts[0].address}:{services[0].port}")
    return sorted(found)


def found_or_none(records, service: str):
    """As `find`, but None with a log line where nobody answers."""
    try:
        return find(records, service)
    except (OSError, ValueError, dns.exception.DNSException) as error:
        log("seeds_failed", service=service, error=str(error) or type(error).__name__)
        return None
