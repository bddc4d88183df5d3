"""The platform's rules for idle connections to endpoints: when they are closed."""

import pytest
from standins import Client, HttpStandIn, engine, standing, until

from pinspread.policy.events import EndpointState, UpdateScope

pytestmark = pytest.mark.anyio


async def test_an_idle_connection_that_the_endpoint_closed_is_not_written_to(tmp_path):
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        for _ in range(2):
            await client.enqueue()
            await until(lambda: not rig.engine.messages_by_id)
            for connection in list(endpoint.open):
                connection.sock.shutdown(2)
        assert len(endpoint.requests) == endpoint.connections == 2


@pytest.mark.parametrize("how", ["drains", "left out"])
async def test_idle_connections_to_a_removed_endpoint_are_closed(tmp_path, how):
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        await Client(rig.address).enqueue()
        await until(lambda: not rig.engine.messages_by_id and endpoint.open)
        if how == "drains":
            rig.update_endpoints(address, state=EndpointState.DRAINING)
        else:
            rig.engine.update_endpoints(UpdateScope.FULL, [])
        await until(lambda: not endpoint.open, 1.0)


async def test_idle_connections_are_closed_before_the_endpoint_would(tmp_path):
    endpoint = HttpStandIn()
    async with (
        standing(endpoint) as address,
        engine(tmp_path, endpoints=[(address,)], keepaliveNs=500_000_000) as rig,
    ):
        await Client(rig.address).enqueue()
        await until(lambda: endpoint.requests)
        await until(lambda: not endpoint.open, 1.0)
