"""The endpoint list of a run, and the delayed notification of its changes to the instances."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from pinspread.policy.events import EndpointEntry, EndpointState, UpdateScope
from pinspread.simulation.endpoint import Endpoint
from pinspread.simulation.engine import Engine

if TYPE_CHECKING:
    from pinspread.simulation.instance import Instance

LARGE_KIND, SMALL_KIND = range(2)


class EndpointDirectory:
    """Lists endpoints, and notifies each instance of changes after a delay.

    Args:
        engine: The engine of the simulation.
        endpoints: All endpoints by id; new ones are added to it.
        instances: The instances to notify.
        delays_ns: The delay of each instance.

    Attributes:
        entries: The current list, by endpoint id.
    """

    def __init__(
        self,
        engine: Engine,
        endpoints: dict[int, Endpoint],
        instances: Sequence["Instance"],
        delays_ns: Sequence[int],
    ) -> None:
        self.endpoints = endpoints
        self.entries = {id_: entry_of(endpoint) for id_, endpoint in endpoints.items()}
        self._engine = engine
        self._instances = instances
        self._delays_ns = delays_ns

    def announce(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Change the list, and notify all instances of the change."""
        entry = entry_of(endpoint, state)
        if state is EndpointState.REMOVED:
            self.entries.pop(endpoint.id, None)
        else:
            self.entries[endpoint.id] = entry
        for instance, delay_ns in zip(self._instances, self._delays_ns, strict=True):
            self._engine.after(delay_ns, self._notify, instance, entry)

    @staticmethod
    def _notify(instance: "Instance", entry: EndpointEntry) -> None:
        if instance.up:
            instance.update_endpoints(UpdateScope.DELTA, [entry])


def entry_of(endpoint: Endpoint, state: EndpointState = EndpointState.READY) -> EndpointEntry:
    """Return an endpoint's entry of the list."""
    spec = endpoint.destination.spec
    kind = LARGE_KIND if spec.large else SMALL_KIND
    return EndpointEntry(endpoint.id, spec.number, 0, kind, state, spec.weight)
