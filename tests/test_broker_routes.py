"""Which facts of a broker a connection may keep from its opening, and which each publish reads anew."""

import signal

import pytest
from application_process import Application
from pamqp import commands
from platform_helpers import acknowledging_platform
from standins import BrokerStandIn, Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.core.messages import Endpoint
from pinspread.policy.events import EndpointState, UpdateScope

pytestmark = pytest.mark.anyio


def list_broker(courier, address, **route):
    """List the broker under the same id and address, with this route."""
    endpoint = Endpoint("b", address, 1, scheme="amqp", route=route, weight=500.0)
    courier.engine.update_endpoints(UpdateScope.DELTA, [(endpoint, EndpointState.READY)])


async def test_a_publish_takes_the_route_that_is_listed_and_not_the_one_of_its_connection(tmp_path):
    """Guards against payments in another partner's queue after a record has changed its routing key."""
    broker = BrokerStandIn()
    async with serve_on_loopback(broker) as address, running_courier(tmp_path) as courier:
        client = Client(courier.address)
        list_broker(courier, address, routing_key="queue-a")
        await client.enqueue(id_="p1")
        await wait_until(lambda: "p1" in broker.routes)
        (stream,) = broker.streams
        list_broker(courier, address, exchange="other", routing_key="queue-c")
        await client.enqueue(id_="p2")
        await wait_until(lambda: "p2" in broker.routes)
        assert broker.routes == {"p1": ("/", "", "queue-a"), "p2": ("/", "other", "queue-c")}
        assert broker.streams == {stream}  # the connection serves the new route as well


@pytest.mark.parametrize("change", [{"routing_key": "queue-c"}, {"vhost": "/new"}])
async def test_a_publish_that_waits_for_its_broker_does_not_go_by_the_route_of_its_beginning(
    tmp_path, change
):
    """Guards against a publish by the old route whose attempt began before the record changed."""
    broker = BrokerStandIn()
    async with serve_on_loopback(broker) as address, running_courier(tmp_path) as courier:
        client = Client(courier.address)
        list_broker(courier, address, routing_key="queue-a")
        await client.enqueue(id_="p1")
        await wait_until(lambda: "p1" in broker.routes)
        await broker.send_to_all(commands.Connection.Blocked("disk"))
        (connection,) = courier.engine.transports["amqp"].connections.values()
        await wait_until(lambda: not connection.unblocked.is_set())
        await client.enqueue(id_="p2")
        await wait_until(lambda: courier.engine.attempts)
        list_broker(courier, address, **change)
        await broker.send_to_all(commands.Connection.Unblocked())
        await wait_until(lambda: "p2" in broker.routes)
        expected = {"vhost": "/", "exchange": "", "routing_key": "partner.1"} | change
        assert broker.routes["p2"] == tuple(expected.values())
        assert broker.effects == ["p1", "p2"]


async def test_a_changed_virtual_host_opens_a_connection_and_leaves_the_pending_publish_its_confirm(tmp_path):
    """Guards against publishes to the old virtual host, and against payments that fail by the change."""
    broker, platform = (
        BrokerStandIn(lambda _, id_: "wait" if id_ == "p1" else "ack"),
        acknowledging_platform(),
    )
    async with (
        serve_on_loopback(broker) as address,
        serve_on_loopback(platform) as platform_address,
        running_courier(tmp_path, platform_address) as courier,
    ):
        client = Client(courier.address)
        list_broker(courier, address)
        await client.enqueue(id_="p1")
        await wait_until(lambda: "p1" in broker.routes)
        (old_stream,) = broker.streams
        list_broker(courier, address, vhost="/new")
        await client.enqueue(id_="p2")
        await wait_until(lambda: "p2" in broker.routes)
        assert broker.routes["p2"] == ("/new", "", "partner.1")
        assert len(broker.streams) == 2 and "p1" in courier.engine.messages_by_id
        await old_stream.send(commands.Basic.Ack(1, False), 1)
        await wait_until(lambda: not courier.engine.messages_by_id and old_stream not in broker.streams)
        assert not platform.lines  # the platform learns of deliveries from the endpoints: none has failed


async def test_a_broker_that_becomes_an_endpoint_of_another_scheme_loses_its_connection(tmp_path):
    """Guards against a connection that nobody closes once its id stands for an endpoint of another scheme."""
    broker, endpoint = BrokerStandIn(), HttpStandIn()
    async with (
        serve_on_loopback(broker) as address,
        serve_on_loopback(endpoint) as http_address,
        running_courier(tmp_path) as courier,
    ):
        list_broker(courier, address)
        await Client(courier.address).enqueue(id_="p1")
        await wait_until(lambda: broker.effects)
        courier.update_endpoints(http_address, "b")
        await wait_until(lambda: not broker.streams)
        assert not courier.engine.transports["amqp"].connections


async def test_a_reload_logs_in_with_the_new_password_and_follows_the_new_services(tmp_path):
    """Guards against connections that are refused after a password was changed, until a restart."""
    broker = BrokerStandIn()
    async with (
        serve_on_loopback(broker) as address,
        serve_on_loopback(acknowledging_platform()) as platform_address,
    ):
        process = Application(tmp_path, address, platform_address)
        client = await process.client()
        await client.say("ENQUEUE", "0", "p1", "c=payment,t=all,d=9000,dest=1", "x")
        await wait_until(lambda: broker.effects == ["p1"])
        process.secret.write_text("changed\n")
        file = tmp_path / "pay.toml"
        text = file.read_text()
        services = 'refresh_s = 0.2\nservices = ["_{}._tcp"]'
        file.write_text(text.replace("refresh_s = 0.3", services.format("http")))
        process.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: not broker.streams, 10)  # the broker is not among these services
        file.write_text(text.replace("refresh_s = 0.3", services.format("amqp")))
        process.process.send_signal(signal.SIGHUP)
        await client.say("ENQUEUE", "0", "p2", "c=payment,t=all,d=9000,dest=1", "x")
        await wait_until(lambda: broker.effects == ["p1", "p2"], 10)
        assert broker.logins == {"\0u\0s3cret", "\0u\0changed"}
        await process.kill()
