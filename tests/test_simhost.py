"""The simulator host as a process: it ends silently; bad input gives one line, and exceptions give FAULT."""

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from pinspread import simhost
from pinspread.simulator_wire import encoder, protocol

ROOT = Path(__file__).parent.parent
SETTINGS = """az=0
balancers=2
lanes.count=1
lanes.0.aimNs=4000000000
lanes.0.deadlineNs=24000000000
lanes.0.effect=repeatable
policyLimits.mostHeld=20
policyLimits.sendCap=8
report.fields=x0,x1
rules.coldFrom=0.22
rules.coldNs=12000000000
rules.drainGraceNs=500000000
rules.tipMultiple=2.0
specifics.bundleMax=1
specifics.callsOut=7
specifics.kindApart=false
some.new.key=skipped
"""
ON = b"\x0b\x00\x03"


def frame(*records, now=1, count=None):
    body = b"".join(records)
    return protocol.BATCH_HEADER.pack(len(records) if count is None else count, len(body), now) + body


def configure(text=SETTINGS):
    data = text.encode()
    return b"\x00" + struct.pack(">QI", 7, len(data)) + data


def run(data):
    return subprocess.run(
        [sys.executable, "-m", "pinspread.simhost"], input=data, capture_output=True, cwd=ROOT
    )


def test_empty_batch_and_quiet_end():
    completed = run(frame())
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, bytes(8), b"")


def test_a_message_goes_out():
    row = b"\x0a\x12\x4a\x07\x1f\x43" + struct.pack(">BHHBfQ", 0, 0, 57, 2, 1.0, 0)
    rows = b"\x0a" + struct.pack(">HI", 0, 1) + row
    fleet = b"\x01" + struct.pack(">QHB", 1, 0, 2)
    job = b"\x02" + struct.pack(">QBIQQQfH", 99, 0, 0, 0, 10_000_000_000, 0, 57.0, 0)
    completed = run(frame(rows, ON, configure(), fleet, job))
    size, count = protocol.REPLY_HEADER.unpack(completed.stdout[:8])
    assert completed.returncode == 0 and size == len(completed.stdout) - 8 and count == 2
    assert completed.stdout[8:12] == encoder.source(3) + b"\x01"  # the record of the call


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (frame()[:7], b"input ended inside the header of frame 0: 7 of 16 bytes"),
        (frame() + frame(ON)[:-1], b"input ended inside frame 1"),
        (frame(ON, b"\x63"), b"unknown event code"),
        (frame(ON, count=3), b"cannot be|record"),
        (frame(count=9), b"9 records in 0 bytes"),
        (
            frame(ON, configure(SETTINGS.replace("rules.coldFrom", "rules.other"))),
            b"rules.coldFrom is missing",
        ),
        (frame(ON, configure(SETTINGS.replace("callsOut=7", "callsOut=x"))), b"specifics.callsOut cannot be"),
        (frame(ON, configure(SETTINGS.replace("callsOut=7", "callsOut=0"))), b"calls_out must be at least 1"),
        (frame(ON, b"\x06" + bytes(8)), b"instance 3 was never configured"),
    ],
)
def test_bad_input_is_reported_plainly(data, words):
    completed = run(data)
    assert completed.returncode != 0
    assert any(word in completed.stderr for word in words.split(b"|"))
    assert completed.stderr.count(b"\n") == 1 and b"Traceback" not in completed.stderr
    assert len(completed.stdout) % 8 == 0  # only complete replies


def test_exception_in_the_decisions_becomes_a_fault(monkeypatch):
    monkeypatch.setattr(simhost.DeliveryPolicy, "handle", lambda *_: 1 / 0)
    sink = io.BytesIO()
    simhost.serve(io.BytesIO(frame(ON, configure())), sink)
    assert encoder.fault("ZeroDivisionError: division by zero") in sink.getvalue()
