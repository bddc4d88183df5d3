"""One member of a cluster test: a real courier in its own process, over its restarts."""

import signal
import subprocess
import sys
import threading
from pathlib import Path

import orjson

from pinspread.simulation.recorded_events import recorded
from pinspread.testbed.cluster_scenario import ClusterScenario, FaultKind
from pinspread.testbed.history import History, monotonic_us
from pinspread.testbed.member_configuration import (
    ClockError,
    ClusterAddresses,
    member_configuration,
    member_id,
)

ROOT = Path(__file__).parents[2]
STOP_TIMEOUT_S = 4.0  # from SIGTERM to SIGKILL
READER_TIMEOUT_S = 5.0  # for reading the last lines of a process that has ended
MAX_TEXT = 500  # characters kept of an output line that is not JSON
SIGNALS = {
    FaultKind.PAUSE: signal.SIGSTOP,
    FaultKind.RESUME: signal.SIGCONT,
    FaultKind.KILL: signal.SIGKILL,
    FaultKind.TERMINATE: signal.SIGTERM,
}


class MemberProcess:
    """A member's process; only processes that were started here are signalled, by their process ids.

    Attributes:
        id: The member's id.
        real: The address at which it listens for gossip.
        advertised: The address at which the other members reach it, through the proxy.
        clock: The error of its clock from the next start on.
        serving: Set once the process serves.
        ending: Whether the last fault that sent a signal to the running process, if any, sent SIGTERM.
    """

    def __init__(
        self,
        scenario: ClusterScenario,
        addresses: ClusterAddresses,
        history: History,
        number: int,
        folder: Path,
    ) -> None:
        """Create a member; its own folder is created in `folder`."""
        self.scenario = scenario
        self.addresses = addresses
        self.history = history
        self.number = number
        self.id = member_id(number)
        self.real = addresses.real(number)
        self.advertised = addresses.advertised(number)
        self.folder = folder / self.id
        self.clock = ClockError()
        self.serving = threading.Event()
        self.ending = False
        self._process: subprocess.Popen[bytes] | None = None
        self._reader: threading.Thread | None = None

    @property
    def state_folder(self) -> Path:
        """The folder that the member keeps over restarts."""
        return self.folder / "state"

    def configuration(self) -> str:
        """The text of the member's configuration file."""
        return member_configuration(self.scenario, self.addresses, self.number, self.folder, self.clock)

    def start(self) -> None:
        """Start the process."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "courier.toml"
        path.write_text(self.configuration())
        self.serving.clear()
        self.ending = False
        command = [sys.executable, "-m", "pinspread", "serve", "--app", str(path)]
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        self._process = process
        self.history.add(self.id, "started", pid=process.pid, offset_ms=self.clock.offset_ms)
        self._reader = threading.Thread(target=self._read, args=(process,), daemon=True)
        self._reader.start()

    def _read(self, process: subprocess.Popen[bytes]) -> None:
        """Add the process's output to the history until it ends."""
        for raw in process.stdout or ():
            line = parse_line(raw)
            if line is None:
                continue
            if line.get("event") == "serving":
                self.serving.set()
            line.setdefault("mono_us", monotonic_us())
            self.history.add_line(line | {"who": self.id})
        self.history.add(self.id, "exited", code=process.wait())

    def running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    def signal(self, kind: FaultKind) -> None:
        """Send the process the signal of a fault, if it runs."""
        process = self._process
        if process is not None and process.poll() is None:
            self.ending = kind is FaultKind.TERMINATE
            process.send_signal(SIGNALS[kind])
            self.history.add(self.id, "signalled", do=kind)

    def wait(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            self._process.wait()

    def request_shutdown(self) -> None:
        """Send SIGTERM to the process, and resume it so that a paused one shuts down as well."""
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)

    def wait_or_kill(self) -> None:
        """Wait until the process has ended, and kill it after `STOP_TIMEOUT_S`."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def wait_for_last_lines(self) -> None:
        """Wait until the output of the ended process is in the history, for at most `READER_TIMEOUT_S`."""
        if self._reader is not None:
            self._reader.join(READER_TIMEOUT_S)


def parse_line(raw: bytes) -> dict[str, object] | None:
    """Decode a line of a courier's output as an event, in the vocabulary of recordings.

    Text that is not JSON becomes an event `text`; internal errors and tracebacks become events `fault`.

    Returns:
        The event; None if the line is JSON but not an object.
    """
    try:
        line = recorded(orjson.loads(raw))
    except orjson.JSONDecodeError:
        line = {"event": "text", "text": raw.decode("utf-8", "replace").rstrip()[:MAX_TEXT]}
    if not isinstance(line, dict):
        return None
    if line.get("event") in ("fault", "internal_error") or "Traceback" in line.get("text", ""):
        line["event"] = "fault"
    return line
