"""Actions that the delivery policy asks its caller to perform. Times are integer nanoseconds."""

from dataclasses import dataclass

from pinspread.policy.events import EndpointId


@dataclass(slots=True)
class Send:
    """Call an endpoint with a message; the sends of one turn to one endpoint may share a call."""

    request: int
    endpoint: EndpointId
    timeout_ns: int


@dataclass(slots=True)
class Reject:
    """Final result: not delivered; submitting the message again is harmless, after `retry_after_ns`."""

    request: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Final result: failed; the message may or may not have taken effect."""

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
    """Ask for a TimerFired event after `delay_ns`."""

    tag: int
    delay_ns: int


@dataclass(slots=True)
class Subscribe:
    """Poll for changes of the endpoint list since the last known one; an EndpointsChanged answers it."""


Action = Send | Reject | Fail | CheckHealth | Disconnect | SetTimer | Subscribe
