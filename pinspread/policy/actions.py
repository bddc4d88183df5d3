"""Actions that the delivery policy asks its caller to perform. Times are integer nanoseconds."""

from dataclasses import dataclass

from pinspread.policy.events import EndpointId


@dataclass(slots=True)
class Send:
    """Call an endpoint with a message; sends of one turn to one endpoint may share a call."""

    request: int
    endpoint: EndpointId
    timeout_ns: int


@dataclass(slots=True)
class Reject:
    """Final result: not delivered; submitting it again is harmless, after `retry_after_ns`."""

    request: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Final result: failed; it may or may not have taken effect."""

    request: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class Disconnect:
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired in `delay_ns`."""

    tag: int
    delay_ns: int


@dataclass(slots=True)
class Subscribe:
    """Poll for changes of the list, from the last known one on; one EndpointsChanged answers."""


Action = Send | Reject | Fail | CheckHealth | Disconnect | SetTimer | Subscribe
