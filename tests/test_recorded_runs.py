"""The simulation gives the runs, reports and texts that were recorded before its modules changed."""

import json

import pytest
import recorded_runs


def same(found, wanted, place=""):
    """Whether two values of JSON are the same, floats up to the last digits that libraries may differ in."""
    if isinstance(wanted, float) and isinstance(found, int | float):
        assert found == pytest.approx(wanted, rel=1e-9, abs=1e-12), place
    elif isinstance(wanted, dict):
        assert isinstance(found, dict) and found.keys() == wanted.keys(), place
        for key, value in wanted.items():
            same(found[key], value, f"{place}.{key}")
    elif isinstance(wanted, list):
        assert isinstance(found, list) and len(found) == len(wanted), place
        for number, value in enumerate(wanted):
            same(found[number], value, f"{place}[{number}]")
    else:
        assert found == wanted, place


@pytest.mark.parametrize("name", recorded_runs.EXPERIMENTS)
def test_an_experiment_gives_the_recorded_runs_and_report(name, tmp_path):
    result, report = recorded_runs.played(name, tmp_path)
    same(result, json.loads(recorded_runs.recorded(f"{name}.json")))
    assert report == recorded_runs.recorded(f"{name}.md")


@pytest.mark.parametrize("name", recorded_runs.TEXTS)
def test_a_command_prints_what_was_recorded(name):
    assert recorded_runs.shown(name) == recorded_runs.recorded(name)
