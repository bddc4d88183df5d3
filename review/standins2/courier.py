"""Starts a courier by the deploy file's `run`, and writes its configuration."""

import json
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CLASSES = [
    {
        "name": "booking-change",
        "aimNs": 3_000_000_000,
        "deadlineNs": 24_000_000_000,
        "effect": "by_key",
        "group": "all",
        "lateShare": 0.5,
        "serialByKey": True,
        "streamed": False,
        "value": 1.0,
        "windowNs": 25_000_000_000,
    },
    {
        "name": "status-update",
        "aimNs": 4_000_000_000,
        "deadlineNs": 16_000_000_000,
        "effect": "repeatable",
        "group": "all",
        "lateShare": 0.5,
        "streamed": False,
        "value": 2.0,
        "windowNs": 5_000_000_000,
    },
    {
        "name": "payment",
        "aimNs": 2_000_000_000,
        "deadlineNs": 20_000_000_000,
        "effect": "once",
        "group": "all",
        "lateShare": 0.3,
        "streamed": False,
        "value": 5.0,
        "windowNs": 5_000_000_000,
    },
]


def run_command() -> str:
    """Return the deploy file's command that starts a courier."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def settings(calls_out: int = 9, most_held: int = 229) -> dict[str, Any]:
    """Return the settings of the wire page's example, as nested objects."""
    return {
        "az": 0,
        "balancers": 2,
        "clients": {"marksRetry": False},
        "goal": {"whole": 0.3, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.4},
        "lanes": CLASSES,
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.2,
        "policyLimits": {
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 96000,
            "dialTimeoutNs": 1_000_000_000,
            "keepaliveNs": 15_000_000_000,
            "maxRetryAfterNs": 2_000_000_000,
            "mayCancel": True,
            "mayDuplicate": False,
            "mayTell": False,
            "mostHeld": most_held,
            "multiplex": 8,
            "probes": True,
            "retryAfter": True,
            "sendCap": 6,
        },
        "prices": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.02, "probe": 0.014, "waste": 0.024},
        "projects": [
            {"name": "north-circuit", "quotaRps": 15.0, "share": 0.45},
            {"name": "south-valley", "quotaRps": 12.0, "share": 0.37},
            {"name": "city-tours", "quotaRps": 6.0, "share": 0.18},
        ],
        "quantumNs": 5_000_000,
        "report": {"fields": [], "how": "none"},
        "rules": {
            "answerSlackNs": 20_000_000,
            "coldFrom": 0.2,
            "coldNs": 9_000_000_000,
            "drainGraceNs": 250_000_000,
            "mustAskInNs": 10_000_000_000,
            "orderPauseNs": 0,
            "tipAfterNs": 1_500_000_000,
            "tipMultiple": 2.0,
        },
        "serviceType": "deliver",
        "shapes": ["big-partner", "small-partner"],
        "specifics": {
            "bundleMax": [1, 1],
            "callsOut": calls_out,
            "kindApart": [False, False],
            "late": "halves",
            "refusalCost": 0.03,
            "zoneFee": [0.0],
        },
        "stage": 0,
        "tiers": ["partner-systems"],
        "weights": "nominal",
        "worthBy": "request",
        "zones": ["addis"],
    }


class Courier:
    """One courier, over its restarts.

    Args:
        folder: A temporary folder for its state, its private folder and its log.
        environment: Variables beside those of this process.
        arguments: Arguments behind the deploy file's command.
    """

    def __init__(self, folder: Path, environment: dict[str, str], arguments: str = "") -> None:
        self.folder = folder
        self.command = f"{run_command()} {arguments}".strip()
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        self.environment = {**os.environ, **environment, "TMPDIR": str(temporary)}
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with (self.folder / "courier.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, signum: signal.Signals) -> None:
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return None if self.process is None else self.process.poll()


def write_platform_files(
    folder: Path, listen: str, discovery: str, known: dict[str, Any], settings_: dict[str, Any]
) -> dict[str, str]:
    """Write the configuration of the deploy page; return the variables that the courier is told."""
    state, config = folder / "state", folder / "config.json"
    state.mkdir(exist_ok=True)
    document = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": settings_,
    }
    config.write_text(json.dumps(document))
    return {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": discovery,
        "RELAY_STATE": str(state),
        "RELAY_CONFIG": str(config),
    }


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")
        self._file.flush()
