"""The codec of the simulator wire: the byte examples of its protocol page, and malformed input."""

import struct

import pytest

from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer
from pinspread.policy.events import (
    ClientCancelled,
    HealthCheckCompleted,
    MessageAccepted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.simulator_wire import encoder
from pinspread.simulator_wire.decoder import Decoder
from pinspread.simulator_wire.protocol import WireError


def decode_hex(*texts):
    return bytes.fromhex("".join(texts).replace(" ", ""))


ON = "0b 0003"
JOB = "02 000bac885d3a91c4 00 00000000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 42640000 0001"
RESULT = "04 000bac885d3a91c4 00 0a124a07 1f43 0000 00000000011a49a0 01 00000000 02 3ecccccd3fa00000"
ROWS = (
    "0a 0000 00000002"
    "0a124a07 1f43 00 0000 0039 02 3f800000 0000000000000000"
    "0a9011f2 1f6c 00 0000 0039 02 3fc00000 000000016b969d00"
)
FLEET = "01 0000000000000029 0000 02"


def decode(count, *texts):
    return Decoder().batch(count, decode_hex(*texts))


def test_message_and_timer():
    (_, message), (_, timer) = decode(3, ON, JOB, "06 000000000000004d")
    assert message == MessageAccepted(0x000BAC885D3A91C4, 0, 57, 0x0203B6DB90, 0x91F03B7C55D20A64, 0)
    assert timer == TimerFired(0x4D)


def test_list():
    ((instance, event),) = decode(3, ON, ROWS, FLEET)
    assert instance == 3 and event.scope is UpdateScope.CACHED
    assert [e.endpoint for e in event.entries] == [
        bytes.fromhex("0a124a071f43"),
        bytes.fromhex("0a9011f21f6c"),
    ]
    assert [(e.destination, e.weight, e.state) for e in event.entries] == [(57, 1.0, 2), (57, 1.5, 2)]


def test_outcome_cancellation_and_health_check():
    events = decode(
        4, ON, RESULT, "05 0007fa040e6f2b19", "07 0000000000155cc0 0000 0a9011f2 1f6c 02 3ecccccd3fa00000"
    )
    completed, cancelled, health_check = (event for _, event in events)
    assert completed.outcome is Outcome.OK and completed.done and completed.elapsed_ns == 0x11A49A0
    assert cancelled == ClientCancelled(0x0007FA040E6F2B19)
    assert health_check == HealthCheckCompleted(bytes.fromhex("0a9011f21f6c"), Outcome.OK, 0x155CC0)


def test_retry_after_is_in_milliseconds():
    text = "04 000bac885d3a91c4 00 0a124a07 1f43 00fe 00000000011a49a0 00 000000fa 00"
    ((_, completed),) = decode(2, ON, text)
    assert completed.outcome is Outcome.OVERLOADED and completed.retry_after_ns == 250_000_000


def test_actions_and_reply():
    endpoint = bytes.fromhex("0a124a071f43")
    assert encoder.source(3) == decode_hex("07 0003")
    assert encoder.encode(Send(0x000BAC885D3A91C4, endpoint, 80_000_000)) == decode_hex(
        "01 000bac885d3a91c4 0a124a07 1f43 0000000004c4b400"
    )
    assert encoder.encode(SetTimer(0x4D, 500_000_000)) == decode_hex("08 000000000000004d 000000001dcd6500")
    assert encoder.encode(Reject(0x0007FA040E6F2B19, 250_000_000)) == decode_hex(
        "06 0007fa040e6f2b19 000000000ee6b280"
    )
    assert encoder.encode(Fail(0x0007FA040E6F2B19)) == decode_hex("0a 0007fa040e6f2b19")
    assert encoder.encode(Disconnect(bytes.fromhex("0a9011f21f6c"))) == decode_hex("0b 0a9011f2 1f6c")
    assert encoder.encode(CheckHealth(bytes.fromhex("0a9011f21f6c"))) == decode_hex("04 0a9011f2 1f6c")
    assert encoder.fault("index out of range") == decode_hex("09 0012 696e646578206f7574206f662072616e6765")
    assert encoder.reply([]) == bytes(8)
    assert encoder.reply([b"\x07\x00\x03"]) == struct.pack(">II", 3, 1) + b"\x07\x00\x03"


@pytest.mark.parametrize(
    ("count", "texts", "error"),
    [
        (2, (ON, JOB[:-4]), "JOB_IN needs"),
        (2, (ON, "63"), "unknown event code"),
        (1, (ON, "00"), "bytes are left"),
        (1, (JOB,), "before any ON"),
        (2, (ON, "0a 0000 00000005"), "counts 120 bytes"),
        (2, (ON, FLEET), "never came"),
        (2, (ON, RESULT.replace("1f43 0000", "1f43 0007")), "unknown verdict"),
    ],
)
def test_malformed_records_are_named(count, texts, error):
    with pytest.raises(WireError, match=error):
        decode(count, *texts)
