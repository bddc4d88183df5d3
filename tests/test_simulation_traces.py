"""Traces: made from logs without any names, replayed by the simulation, and rejected when damaged."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simulation_helpers import SMALL_EXPERIMENT, world

from pinspread.simulation.experiment import load_experiment
from pinspread.simulation.runs import run_key
from pinspread.simulation.simulate import Simulation
from pinspread.simulation.trace import MAGIC, TraceError, read_trace, to_document, write_trace
from pinspread.simulation.trace_recording import record_trace
from pinspread.simulation.trace_replay import replay_trace

KEY = b"a secret of sixteen or more"


def log_lines(count=60):
    lines = []
    for n in range(count):
        at, id_, took = 1_700_000_000_000_000 + n * 50_000, f"id{n}", 100_000 + 1000 * (n * 37 % 50)
        taken = {"at_us": at, "event": "taken", "id": id_, "cls": "payment", "dest": 1 + n % 2, "n": n}
        lines.append(taken | {"tenant": "north-circuit", "key": 0, "size": 200, "for_ms": 20_000})
        branch = {"at_us": at + took, "event": "branch", "id": id_, "n": 0, "hop": "s-1", "verdict": "OK"}
        lines.append(branch | {"took_us": took, "wait_us": 0, "idle_us": -1, "note": ""})
    return [orjson.dumps(line) for line in lines]


def test_a_log_becomes_a_trace_that_can_be_played_and_holds_no_names(tmp_path):
    recorded = record_trace([("a", [*log_lines(), b"not json", b"{}"])], KEY)
    write_trace(recorded, str(tmp_path / "t"))
    restored = read_trace(str(tmp_path / "t"))
    assert restored == recorded and restored.skipped_lines == 2
    text = orjson.dumps(to_document(restored))
    assert b"north-circuit" not in text and b"id7" not in text and b"s-1" not in text
    other = record_trace([("a", log_lines())], KEY + b"!")
    assert other.arrivals.id != recorded.arrivals.id
    replayed = Simulation(world(), replay_trace(str(tmp_path / "t"), world(), 1)).run()
    assert replayed["messages"] == 60 and replayed["delivered"] == 60
    assert replayed["latency_all"]["ms"]["50"] == pytest.approx(125, rel=0.5)


def test_the_key_of_a_run_depends_on_the_content_of_its_trace(tmp_path):
    keys = []
    for count in (20, 30):
        write_trace(record_trace([("a", log_lines(count))], KEY), str(tmp_path / "t"))
        (tmp_path / "x.toml").write_text('trace = "t"\n' + SMALL_EXPERIMENT)
        keys.append(run_key(load_experiment(str(tmp_path / "x.toml")).points[0], 1))
    assert keys[0] != keys[1]


@pytest.fixture(scope="module")
def written(tmp_path_factory):
    path = tmp_path_factory.mktemp("trace") / "t"
    write_trace(record_trace([("a", log_lines())], KEY), str(path))
    return path


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_a_damaged_or_cut_trace_is_refused_with_a_reason(written, data):
    whole = written.read_bytes()
    position = data.draw(st.integers(0, len(whole) - 1))
    if data.draw(st.booleans()):
        damaged = whole[:position]
    else:
        damaged = (
            whole[:position]
            + bytes([whole[position] ^ data.draw(st.integers(1, 255))])
            + whole[position + 1 :]
        )
    file = written.with_name("spoilt")
    file.write_bytes(damaged)
    with pytest.raises(TraceError) as caught:
        read_trace(str(file))
    assert "spoilt" in str(caught.value)


@pytest.mark.parametrize(
    ("data", "why"),
    [(b"", "no trace"), (b"PK\3\4 something else", "no trace"), (MAGIC, "cut off in its head")],
)
def test_a_file_of_another_form_is_no_trace(data, why, tmp_path):
    (tmp_path / "x").write_bytes(data)
    with pytest.raises(TraceError, match=why):
        read_trace(str(tmp_path / "x"))


def test_a_short_key_and_an_empty_log_are_refused():
    with pytest.raises(TraceError, match="16"):
        record_trace([("a", log_lines())], b"short")
    with pytest.raises(TraceError, match="no message"):
        record_trace([("a", [])], KEY)
