"""The pins of pyproject.toml and what counts as installed."""

import importlib.util
from pathlib import Path

spec = importlib.util.spec_from_file_location("pins", Path(__file__).parents[1] / "tools" / "pins.py")
pins = importlib.util.module_from_spec(spec)
spec.loader.exec_module(pins)


def test_a_pin_that_is_taken_back_is_installed_again(tmp_path, monkeypatch):
    (tmp_path / ".venv").mkdir()
    calls = []
    monkeypatch.setattr(pins, "ROOT", tmp_path)
    monkeypatch.setattr(pins.subprocess, "run", lambda call, check: calls.append(call[3:]))
    for wanted in (["a==1", "b==1"], ["a==2"], ["a==2"], ["a==1"]):
        pins.install(wanted)
    assert calls == [["a==1", "b==1"], ["a==2"], ["a==1"]]
    assert (tmp_path / ".venv" / "installed.txt").read_text().split() == ["a==1", "b==1"]


def test_extras_add_to_what_serves_and_everything_is_pinned():
    serving, all_ = pins.pins([]), pins.pins(["fleet", "dev"])
    assert set(serving) < set(all_) and all("==" in pin for pin in all_)
    assert not any(pin.startswith(("numpy", "scipy", "matplotlib", "pytest")) for pin in serving)
