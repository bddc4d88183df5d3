"""The parsers of the platform's protocols, of AMQP and of the settings, on tables of cases."""

import random

import pytest
from pamqp import commands

from pinspread.amqp import frames
from pinspread.amqp.content import ContentAssembler
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.config import settings
from pinspread.core.message_fields import InvalidFieldError
from pinspread.http import exchange
from pinspread.http.call import CallState
from pinspread.http.retry_after import parse_retry_after_us
from pinspread.resp import parser
from pinspread.sockets import split_address


def encode_command(*arguments):
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in arguments)


VALID_OPTIONS = b"c=notice,t=acme,d=8000,k=5c0f,dest=7"


@pytest.mark.parametrize("words", [[b"PING"], [b"X", b""], [b"E", b"\r\n$1\0*", bytes(range(256))]])
def test_a_command_is_parsed_completely_or_not_at_all(words):
    data = encode_command(*words)
    for end in range(len(data)):
        arguments, min_size = parser.parse(memoryview(data)[:end])
        assert arguments is None and end < min_size <= len(data)
    arguments, size = parser.parse(memoryview(data + b"*1\r\n"))
    assert ([bytes(a) for a in arguments], size) == (words, len(data))


@pytest.mark.parametrize(
    "data",
    [b"PING\r\n", b"*0\r\n", b"*99\r\n", b"*-1\r\n", b"*x\r\n", b"*\r\n", b"*1\r\n:1\r\n", b"*1\r\n$-1\r\n"]
    + [
        b"*2\r\n$90000\r\n" + b"x" * 90_000 + b"\r\n$90000\r\n",
        b"*1\r\n$9999999\r\n",
        b"*1\r\n$1\r\nxyz",
        b"*" + b"1" * 40,
        b"*1\r\n$1\r\nx\n\r",
        b"\0",
        b"*1\n\n",
    ],
)
def test_a_stream_that_cannot_be_followed_is_an_error(data):
    with pytest.raises(parser.ProtocolError):
        parser.parse(memoryview(data + b"*" * 9))


@pytest.mark.parametrize(
    ("words", "error"),
    [
        ([b"0", b"id", VALID_OPTIONS], "takes key"),
        ([b"xyz", b"id", VALID_OPTIONS, b""], "key"),
        ([b"0" * 17, b"id", VALID_OPTIONS, b""], "key"),
        ([b"0", b"", VALID_OPTIONS, b""], "id"),
        ([b"0", b"a\r\nb", VALID_OPTIONS, b""], "id"),
        ([b"0", b"x" * 65, VALID_OPTIONS, b""], "id"),
        ([b"0", b"id", VALID_OPTIONS, b"x" * 65_537], "body"),
        ([b"0", b"id", b"c", b""], "no value"),
        ([b"0", b"id", b"c=a,c=b,d=1,dest=1", b""], "twice"),
        ([b"0", b"id", b"c=a,dest=1", b""], "d is missing"),
        ([b"0", b"id", b"c=a,d=1", b""], "dest is missing"),
        ([b"0", b"id", b"d=1,dest=1", b""], "c is missing"),
        ([b"0", b"id", b"c=a,d=-1,dest=1", b""], "d must"),
        ([b"0", b"id", b"c=a,d=1e3,dest=1", b""], "d must"),
        ([b"0", b"id", "c=a,d=²,dest=1".encode("latin-1"), b""], "d must"),
        ([b"0", b"id", b"c=a,d=1,dest=65536", b""], "dest must"),
        ([b"0", b"id", b"c=a,d=1,dest=1,k=a\nb", b""], "idempotency"),
    ],
)
def test_a_malformed_enqueue_says_what_is_wrong(words, error):
    with pytest.raises(InvalidFieldError, match=error):
        parser.parse_enqueue([memoryview(w) for w in (b"ENQUEUE", *words)])


def test_a_good_enqueue_gives_its_fields_and_its_body_as_a_slice():
    words = (b"ENQUEUE", b"7f3a9c21e0b4d655", b"9b1f", VALID_OPTIONS, b"x" * 65_536)
    key, id_, options, body = parser.parse_enqueue([memoryview(w) for w in words])
    assert (key, id_, len(body)) == (0x7F3A9C21E0B4D655, "9b1f", 65_536) and isinstance(body, memoryview)
    assert options == parser.EnqueueOptions(8000, 7, "notice", "acme", "5c0f")


@pytest.mark.parametrize(
    ("text", "wait_us"),
    [(b"0.5", 500_001), (b"2", 2_000_001), (b"", 0), (b"-1", 0), (b"nan", 0), (b"inf", 0), (b"Tue, 01", 0)],
)
def test_retry_after_is_rounded_up_and_none_where_malformed(text, wait_us):
    assert parse_retry_after_us(text) == wait_us


@pytest.mark.parametrize(
    ("received", "status"),
    [
        (b"HTTP/1.1 20", None),
        (b"HTTP/1.1 200\r\n", 200),
        (b"HTTP/1.0 503 Busy\n", 503),
        (b"HTTP/1.1 100 Go on\r\nX: y\r\n", None),
        (b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 102 On\r\n\r\nHTTP/1.1 429 Wait\r\n", 429),
    ],
)
def test_the_status_line_is_found_after_1xx_answers(received, status):
    assert exchange.parse_status(received) == status


@pytest.mark.parametrize(
    "received",
    [b"ICY 200 OK\r\n", b"HTTP/1.1 OK 200\r\n", b"HTTP/1.1 2x0 OK\r\n", b"HTTP/1.1 2000\r\n", b"\n"]
    + [b"HTTP/1.1 200 OK\r\r\n", b"x" * 20_000, b"HTTP/1.1 100 Go on\r\nX: " + b"x" * 20_000],
)
def test_what_is_no_status_line_is_a_malformed_response(received):
    with pytest.raises(exchange.MalformedResponseError):
        exchange.parse_status(received)


@pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:x", "host:65536", "host:٣"])
def test_an_address_is_host_and_port(text):
    with pytest.raises(ValueError):
        split_address(text)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x07\0\0\0\0\0\0\xce", ReplyCode.FRAME_ERROR),
        (b"\x01\0\0\0\2\0\0", ReplyCode.FRAME_ERROR),
        (b"\x03\0\1\0\0\0\1xx", ReplyCode.FRAME_ERROR),
        (b"\x01\0\0\0\0\0\0\xce", ReplyCode.SYNTAX_ERROR),
        (b"\x01\0\0\0\0\0\4\0\x0a\0\x0b\xce", ReplyCode.SYNTAX_ERROR),
        (b"\x02\0\0\0\0\0\4\0\x3c\0\0\xce", ReplyCode.SYNTAX_ERROR),
    ],
)
def test_a_frame_that_breaks_the_protocol_has_its_code(data, code):
    with pytest.raises(AmqpError) as caught:
        frames.parse_frame(memoryview(data))
    assert caught.value.code == code


def test_settings_flatten_to_the_simulators_lines():
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": "x y"}], "f": [], "g": 1.5}
    lines = ["a.b=true", "a.c=1,2", "d.count=1", "d.0.e=x_y", "f=", "g=1.5"]
    assert list(settings.flatten(nested)) == lines


@pytest.mark.parametrize("configuration", [{}, {"settings": {}}, {"settings": {"lanes": 3}}])
def test_a_configuration_that_cannot_be_used_is_named(configuration):
    with pytest.raises(settings.SettingsError, match="configuration"):
        settings.read(configuration, {})


@pytest.mark.parametrize("seed", range(5))
def test_mutated_bytes_raise_nothing_but_what_the_fronts_expect(seed):
    randomness = random.Random(seed)
    properties = commands.Basic.Properties(headers={"class": "payment", "dest": 1}, message_id="m1")
    publish = frames.marshal_content(commands.Basic.Publish(0, "", "x", True), properties, b"body", 1)
    for _ in range(2000):
        for data, parse, expected in (
            (
                encode_command(b"ENQUEUE", b"0", b"id", VALID_OPTIONS, b"x"),
                parser.parse,
                parser.ProtocolError,
            ),
            (publish, frames.parse_frame, AmqpError),
        ):
            data = bytearray(data)
            for _ in range(randomness.randrange(1, 4)):
                data[randomness.randrange(len(data))] = randomness.randrange(256)
            view, contents = memoryview(data), ContentAssembler(100)
            try:
                while len(view) and (parsed := parse(view)) and parsed[0] is not None:
                    if parse is parser.parse:
                        parser.parse_enqueue(parsed[0])
                    else:
                        contents.feed(parsed[1])
                    view = view[parsed[-1] :]
            except (expected, InvalidFieldError):
                pass


def test_a_returned_message_and_its_body_are_assembled_from_split_frames():
    method = commands.Basic.Return(312, "NO_ROUTE", "", "x")
    data = frames.marshal_content(method, commands.Basic.Properties(message_id="m"), b"y" * 9000, 1, 4096)
    view, contents, message = memoryview(data), ContentAssembler(), None
    while len(view):
        _, payload, size = frames.parse_frame(view, 4096)
        message = contents.feed(payload)
        view = view[size:]
    assert message[0].reply_code == 312 and message[1].message_id == "m" and message[2] == b"y" * 9000


def test_a_call_that_was_given_up_says_whether_an_answer_had_begun():
    call = CallState()
    call.exchange = exchange.Exchange(None)
    assert call.describe_received(5_000_000) == "silent"
    call.exchange.received += b"HTTP/1.1 2"
    call.exchange.last_read_us = 3_000_000
    assert call.describe_received(5_000_000) == "10 bytes, the last 2000 ms ago"
