"""The pinned requirements of pyproject.toml, the record of installed ones, and the compiled package."""

import importlib.util
import os
import subprocess
import sys
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
    serving, all_ = pins.pinned_requirements([]), pins.pinned_requirements(["fleet", "dev"])
    assert set(serving) < set(all_) and all("==" in pin for pin in all_)
    assert not any(pin.startswith(("numpy", "scipy", "matplotlib", "pytest")) for pin in serving)


def test_a_build_compiles_the_package_even_if_all_is_installed_and_no_cache_gets_stale(tmp_path, monkeypatch):
    (tmp_path / "pyproject.toml").write_text('[project]\ndependencies = ["a==1"]\n')
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    (tmp_path / ".venv" / "installed.txt").write_text("a==1\n")
    source = tmp_path / "pinspread" / "__init__.py"
    source.parent.mkdir()
    source.write_text("value = 1\n")
    monkeypatch.setattr(pins, "ROOT", tmp_path)
    monkeypatch.setenv("PYTHONDONTWRITEBYTECODE", "1")  # as it is set where the build is run
    pins.main(["--install"])
    assert Path(importlib.util.cache_from_source(source)).exists()

    before = source.stat()
    source.write_text("value = 2\n")
    # A checkout may leave the source like this: neither its size nor its time shows the change.
    os.utime(source, ns=(before.st_atime_ns, before.st_mtime_ns))
    code = "import pinspread; print(pinspread.value)"
    run = subprocess.run([sys.executable, "-c", code], cwd=tmp_path, capture_output=True, text=True)
    assert run.stdout == "2\n"
