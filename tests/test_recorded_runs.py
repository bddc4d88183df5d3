"""The simulation gives the runs, reports and texts that were recorded before its modules changed."""

import json

import pytest
import recorded_runs


def assert_same(actual, expected, location=""):
    """Assert that two JSON values are equal; floats may differ in their last digits, as libraries do."""
    if isinstance(expected, float) and isinstance(actual, int | float):
        assert actual == pytest.approx(expected, rel=1e-9, abs=1e-12), location
    elif isinstance(expected, dict):
        assert isinstance(actual, dict) and actual.keys() == expected.keys(), location
        for key, value in expected.items():
            assert_same(actual[key], value, f"{location}.{key}")
    elif isinstance(expected, list):
        assert isinstance(actual, list) and len(actual) == len(expected), location
        for number, value in enumerate(expected):
            assert_same(actual[number], value, f"{location}[{number}]")
    else:
        assert actual == expected, location


@pytest.mark.parametrize("name", recorded_runs.EXPERIMENTS)
def test_an_experiment_gives_the_recorded_runs_and_report(name, tmp_path):
    result, report = recorded_runs.run_experiment(name, tmp_path)
    assert_same(result, json.loads(recorded_runs.read_recording(f"{name}.json")))
    assert report == recorded_runs.read_recording(f"{name}.md")


@pytest.mark.parametrize("name", recorded_runs.TEXTS)
def test_a_command_prints_what_was_recorded(name):
    assert recorded_runs.command_output(name) == recorded_runs.read_recording(name)
