"""The platform's rules for idle connections to endpoints: when they are closed."""

import pytest
from standins import Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.policy.events import EndpointState, UpdateScope

pytestmark = pytest.mark.anyio


async def test_an_idle_connection_that_the_endpoint_closed_is_not_written_to(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client = Client(courier.address)
        for _ in range(2):
            await client.enqueue()
            await wait_until(lambda: not courier.engine.messages_by_id)
            for connection in list(endpoint.open):
                connection.sock.shutdown(2)
        assert len(endpoint.requests) == endpoint.connections == 2


@pytest.mark.parametrize("change", ["drains", "missing in a full list"])
async def test_idle_connections_to_a_removed_endpoint_are_closed(tmp_path, change):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        await Client(courier.address).enqueue()
        await wait_until(lambda: not courier.engine.messages_by_id and endpoint.open)
        if change == "drains":
            courier.update_endpoints(address, state=EndpointState.DRAINING)
        else:
            courier.engine.update_endpoints(UpdateScope.FULL, [])
        await wait_until(lambda: not endpoint.open, 1.0)


async def test_idle_connections_are_closed_before_the_endpoint_would(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)], keepaliveNs=500_000_000) as courier,
    ):
        await Client(courier.address).enqueue()
        await wait_until(lambda: endpoint.requests)
        await wait_until(lambda: not endpoint.open, 1.0)
