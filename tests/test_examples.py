"""The example folder works as the README says, on other ports."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from standins import own_address

from pinspread.config.checks import problems

EXAMPLES = Path(__file__).parents[1] / "examples"


def test_the_example_courier_delivers_to_the_toy_destination(tmp_path):
    ports = {old: own_address().split(":")[1] for old in ("6379", "5672", "8500", "8080", "9600")}
    for name in ("booking.toml", "partners.zone"):
        text = (EXAMPLES / name).read_text().replace("examples/", f"{tmp_path}/")
        for old, new in ports.items():
            text = text.replace(old, new)
        (tmp_path / name).write_text(text)
    python, running = sys.executable, []
    try:
        toy = [python, EXAMPLES / "toy_partner.py", ports["8080"], ports["8500"]]
        running.append(subprocess.Popen(toy, stdout=subprocess.PIPE, text=True))
        assert "toy partner" in running[0].stdout.readline()
        command = [python, "-m", "pinspread", "serve", "--app", tmp_path / "booking.toml"]
        running.append(subprocess.Popen(command, stdout=subprocess.DEVNULL))
        hand_in = [python, EXAMPLES / "hand_in.py", "payment", "1", "hello", ports["6379"]]
        for _ in range(100):
            completed = subprocess.run(hand_in, capture_output=True, text=True)
            if completed.stdout:
                break
            time.sleep(0.05)
        assert completed.stdout == "+OK\n"
        assert "b'hello'" in running[0].stdout.readline()
        running[1].send_signal(signal.SIGHUP)  # the courier reads its configuration again
        assert subprocess.run(hand_in, capture_output=True, text=True).stdout == "+OK\n"
        time.sleep(0.2)
        assert running[1].poll() is None
    finally:
        for process in running:
            process.kill()
            process.wait()


@pytest.mark.parametrize("file", sorted(EXAMPLES.glob("*.toml")), ids=lambda p: p.name)
def test_example_files_are_valid(file):
    assert problems(file.read_text()) == []
