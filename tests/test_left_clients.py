"""Clients that leave with much still unread: what they wrote is not sent on, and no id runs twice."""

import socket
import struct
from collections import Counter

import anyio
import pytest
from pamqp import body, commands, header
from standins import AmqpClient, Client, HttpStandIn, marshal, running_courier, serve_on_loopback, wait_until
from upgrade_deployment import deployed, suspended, wait_ready

from pinspread import sockets

pytestmark = pytest.mark.anyio

COMMANDS = 100  # more than a session handles in one turn
LEAVES = ["closes", "resets"]


def leave(sock, how):
    """Close a client's connection, or reset it."""
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def enqueue(number):
    words = [b"ENQUEUE", b"0", b"m%d" % number, b"c=payment,t=north,d=5000,dest=1", b"x" * 300]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def publish(number):
    fields = {"class": "payment", "tenant": "north", "dest": 1}
    properties = commands.Basic.Properties(
        headers=fields, message_id=f"m{number}", expiration="5000", reply_to="ends"
    )
    parts = [
        commands.Basic.Publish(0, "", "x"),
        header.ContentHeader(0, 1, properties),
        body.ContentBody(b"x"),
    ]
    return b"".join(marshal(part) for part in parts)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("front", ["resp", "amqp"])
async def test_what_a_client_wrote_before_it_left_is_not_sent_on(tmp_path, front, how):
    """Guards against requests of clients that are gone, which they have handed in again elsewhere."""
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        if front == "amqp":
            client = await AmqpClient.open(courier.amqp)
            sock, write = client.wire.connection.sock, publish
        else:
            connection = await sockets.dial(courier.address)
            await connection.write(b"*1\r\n$4\r\nPING\r\n")
            assert await connection.read() == b"+PONG\r\n"
            sock, write = connection.sock, enqueue
        sock.send(
            b"".join(write(number) for number in range(COMMANDS))
        )  # the courier runs only once it has left
        leave(sock, how)
        limits = courier.engine.fronts[front].limiter
        await wait_until(lambda: not limits.clients)
        assert not courier.engine.messages_by_id and not endpoint.requests
        again = Client(courier.address)  # the ids come again, from another connection
        for number in range(3):
            assert await again.enqueue(id_=f"m{number}") == "+OK\r\n"
        await wait_until(lambda: not courier.engine.messages_by_id)
        ids = [request[3]["request-id"] for request in endpoint.requests]
        assert sorted(ids) == ["m0", "m1", "m2"]


async def test_a_client_that_waits_for_its_replies_gets_them_all(tmp_path):
    """Guards against refused commands of a client that has not left."""
    async with running_courier(tmp_path) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(b"".join(enqueue(number) for number in range(COMMANDS)))
        replies = b""
        with anyio.fail_after(5):
            while replies.count(b"\r\n") < COMMANDS:
                replies += await connection.read()
        assert replies == b"+OK\r\n" * COMMANDS
        connection.close()


@pytest.mark.parametrize("how", LEAVES)
async def test_what_a_client_wrote_before_it_left_is_not_sent_on_by_the_next_process(tmp_path, how):
    """Guards against requests that lie unread at an upgrade, and run twice once their client comes again."""
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        connection = await sockets.dial(deployment.address)
        await connection.write(b"*1\r\n$4\r\nPING\r\n")
        assert await connection.read() == b"+PONG\r\n"
        old = deployment.processes[-1]
        async with suspended(old):
            connection.sock.send(b"".join(enqueue(number) for number in range(COMMANDS)))
            leave(connection.sock, how)
            new = deployment.start()
            await anyio.sleep(0.5)
        await wait_ready(new)
        await anyio.sleep(0.3)
        assert not ledger.received
        again = Client(deployment.address)
        for number in range(3):
            id_ = f"m{number}"
            assert await again.enqueue(id_=id_) == "+OK\r\n"
            ledger.accepted[id_] = "payment", "0"
        await wait_until(lambda: len(ledger.received) == 3)
    assert set(Counter(ledger.received).values()) == {1}


async def test_whether_a_peer_has_left_shows_behind_unread_bytes():
    """Guards against a check that reads the end of a stream only behind all bytes before it."""
    listening = socket.create_server(("127.0.0.1", 0))
    for how in (*LEAVES, "ends its stream"):
        peer = socket.create_connection(listening.getsockname())
        connection = sockets.Connection(listening.accept()[0])
        assert not connection.peer_has_left()
        peer.sendall(b"unread")
        assert not connection.peer_has_left()
        if how == "ends its stream":
            peer.shutdown(socket.SHUT_WR)
        else:
            leave(peer, how)
        assert connection.peer_has_left() and not connection.is_idle()
        connection.close()
        peer.close()
    listening.close()
