"""An endpoint's DNS-SD record names another destination; later, clients get no answer to their requests.

Messages for the first destination are attempted again and again without a byte being written. After 255
attempts of one, the journal can't be rewritten, so that no record is written once the file is full.
"""

import asyncio

from standins2.application import CLASSES, free_port, write_file, write_records
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import ANSWER_S, Client, Message
from standins2.http import Endpoint, Platform, Request, response

MOVED, STEADY = 1, 2  # destinations of the partner that moves, and of the other one
NEW = 3  # where it moves to
GIVE_UP_S = 60  # of payments
BODIES_BYTES = (16 * 1024, 16 * 1024, 64, 64, 64)  # of the messages of each client
SERVICE_S = 0.13
CHANGE_AFTER_S = 3.0
MOVED_MESSAGES = 5
LENGTH_S = 75.0
CLOSED = "closed with no answer"


def records(port: int, destination: int) -> str:
    """Return the records of both partners, which one server stands in for."""
    lines = ["host A 127.0.0.1"]
    for name, number in (("lodge", destination), ("bank", STEADY)):
        instance = f"{name}._http._tcp"
        lines += [
            f"_http._tcp PTR {instance}",
            f"{instance} SRV 0 0 {port} host",
            f'{instance} TXT "dest={number}" "rate=40"',
        ]
    return "\n".join(lines) + "\n"


async def exchange(port: int, request: bytes, timeout_s: float) -> str:
    """Send a request on a new connection; return the answer, `CLOSED`, or that there was none in time."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        await writer.drain()
        line = await asyncio.wait_for(reader.readline(), timeout_s)
    except TimeoutError:
        return "no answer in time"
    except OSError:
        return CLOSED
    finally:
        writer.close()
    return line.decode("ascii", "replace").strip() or CLOSED


def payment(destination: int, body: bytes) -> Message:
    """Return a new payment."""
    return Message("payment", destination, GIVE_UP_S * 1000, body=body)


async def hand_in(case: Case, port: int, body_bytes: int) -> None:
    """Hand in payments for the partner that stays, until cancelled."""
    while True:
        message = payment(STEADY, b"x" * body_bytes)
        try:
            answer = await exchange(port, message.request(), ANSWER_S)
        except OSError as error:
            answer = f"refused: {error.strerror}"
        case.log(f"handed in {message.id} for {STEADY}: {answer}")
        if answer == CLOSED:
            case.breach(f"{case.now():.1f} s: request {message.id}, written to its last byte: {CLOSED}")
        await asyncio.sleep(0.1)


async def play(case: Case) -> None:
    """Play the case."""

    async def on_call(endpoint: Endpoint, request: Request) -> bytes:
        case.log(f"call {request.headers.get('request-id')} at {endpoint.name}")
        await asyncio.sleep(SERVICE_S)
        return response(200, "OK")

    address = await Endpoint("server", STEADY, on_call).start()
    endpoint_port = int(address.rpartition(":")[2])
    platform = Platform([], lambda id_, state: case.log(f"notice {id_} {state}"))
    notices_port, port = await platform.start(), free_port()
    write_records(case.folder, records(endpoint_port, MOVED))
    classes = CLASSES.replace("deadline_s = 20", f"deadline_s = {GIVE_UP_S}")
    file = write_file(case.folder, port, notices_port, classes)
    courier = case.courier({}, f"serve --app {file}")
    courier.start()
    client = Client(port)
    if not await client.wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    client.close()
    traffic = [asyncio.create_task(hand_in(case, port, size)) for size in BODIES_BYTES]
    await asyncio.sleep(CHANGE_AFTER_S)
    if case.trouble:
        write_records(case.folder, records(endpoint_port, NEW))
        case.log("the record of lodge has changed")
        await asyncio.sleep(1.0)
    for _ in range(MOVED_MESSAGES):
        message = payment(MOVED, b"hello")
        answer = await exchange(port, message.request(), ANSWER_S)
        case.log(f"handed in {message.id} for {MOVED}: {answer}")
        await asyncio.sleep(0.2)
    while case.now() < LENGTH_S and courier.exit_code() is None:
        await asyncio.sleep(0.1)
    for task in traffic:
        task.cancel()
    if courier.exit_code() is not None:
        case.breach(f"{case.now():.1f} s: the courier has ended by itself, with {courier.exit_code()}")


main(__file__, play)
