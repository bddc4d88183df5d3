"""The stage on loopback: real couriers, and the model's word beside what they do."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from pinspread.fleet import day, simulate, trace
from pinspread.fleet.loopback import stage
from pinspread.fleet.world import World

ROOT = Path(__file__).parents[1]
CALM = {"length_s": 5, "traffic": {"load": 0.5}, "network": {"silent_accepts": True}}


def test_a_day_on_sockets_goes_as_the_model_says_and_its_logs_can_be_replayed(tmp_path):
    world = World.model_validate(CALM | {"couriers": {"count": 2}})
    drawn = day.draw(world, 4)
    found = stage.play(world, drawn, tmp_path)
    said = simulate.Fleet(world, drawn).run()
    assert not found["broken"] and found["lost"] == 0
    assert found["delivered"] == found["messages"] == said["messages"]
    assert found["service_unbroken"] == pytest.approx(said["service_unbroken"], abs=0.05)
    logs = [(p.name, p.read_bytes().splitlines()) for p in sorted(tmp_path.glob("play-*/*.log"))]
    recorded = trace.record(logs, b"sixteen bytes or more")
    assert len(recorded["arrivals"]["at_us"]) == found["messages"] and recorded["couriers"] == 2
    trace.write(recorded, str(tmp_path / "t"))
    again = simulate.Fleet(world, trace.replay(str(tmp_path / "t"), world, 1)).run()
    assert again["messages"] == found["messages"]
    ours, theirs = again["latency_all"]["ms"]["50"], found["latency_all"]["ms"]["50"]
    assert ours == pytest.approx(theirs, rel=0.4)


def test_troubles_on_sockets_break_no_rule(tmp_path):
    world = World.model_validate(
        CALM
        | {
            "length_s": 8,
            "trouble": [
                {"kind": "crash", "at_s": 1.5, "length_s": 2, "share": 0.2},
                {"kind": "kill", "at_s": 2, "length_s": 1, "share": 0.7},
                {"kind": "replace", "at_s": 1, "share": 0.2},
                {"kind": "drain", "at_s": 1, "length_s": 3, "share": 0.1},
            ],
        }
    )
    found = stage.play(world, day.draw(world, 2), tmp_path)
    assert not found["broken"] and found["lost"] == 0 and found["payments_twice"] == 0
    assert found["delivered"] > 0.8 * found["messages"]


def test_the_demo_shows_what_became_of_the_traffic(tmp_path):
    call = [sys.executable, "-m", "pinspread", "demo", "--seconds", "4", "--keep", str(tmp_path)]
    done = subprocess.run(call, capture_output=True, text=True, cwd=ROOT, env=os.environ)
    assert done.returncode == 0, done.stderr
    assert "payments run twice: 0; messages without an end: 0" in done.stdout
    assert "refuses connections" in done.stdout
