"""Runs a case: its folder, its record and its couriers, which are ended whatever happens."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins2.courier import Courier, Record

HELD, BROKEN, COULD_NOT_RUN = 0, 3, 2  # exit codes; run.sh makes 1 of 3, and 2 of all others but 0
LIMIT_S = 115.0  # a case may take 120 s
START_TIMEOUT_S = 30.0  # a courier must be ready by then


class CouldNotRunError(Exception):
    """The case could not be played as it is meant, so it says nothing about the rule."""


class Case:
    """The state of one case.

    Attributes:
        trouble: Whether the disruption is played; not with `TROUBLE=0`.
        folder: A temporary folder, which is removed at the end.
        record: The file `record.txt`.
        breaches: What broke the rule, one text each.
    """

    def __init__(self, script: str) -> None:
        self.trouble = os.environ.get("TROUBLE") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(script).resolve().with_name("record.txt"))
        self.breaches: list[str] = []
        self._couriers: list[Courier] = []
        self._start = 0.0

    def courier(
        self, environment: dict[str, str], arguments: str = "", folder: Path | None = None
    ) -> Courier:
        """Return a courier that is killed at the end of the case; its folder is the case's by default."""
        courier = Courier(folder or self.folder, environment, arguments)
        self._couriers.append(courier)
        return courier

    def now(self) -> float:
        """Return the seconds since the case began."""
        return asyncio.get_running_loop().time() - self._start

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self.record.line(text)

    def breach(self, text: str) -> None:
        """Note that the rule was broken."""
        self.breaches.append(text)
        self.log(f"BROKEN {text}")

    async def _play(self, body: Callable[["Case"], Awaitable[None]]) -> None:
        self._start = asyncio.get_running_loop().time()
        self.log(f"trouble={self.trouble}")
        async with asyncio.timeout(LIMIT_S):
            await body(self)

    def run(self, body: Callable[["Case"], Awaitable[None]]) -> int:
        """Play the case and return the exit code."""
        try:
            asyncio.run(self._play(body))
        except Exception as error:
            self.log(f"COULD NOT RUN {error!r}")
            if not isinstance(error, CouldNotRunError):
                traceback.print_exc()
            self._show_log()
            code = COULD_NOT_RUN
        else:
            code = BROKEN if self.breaches else HELD
        finally:
            for courier in self._couriers:
                courier.kill()
            shutil.rmtree(self.folder, ignore_errors=True)
        verdict = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code]
        self.log(f"verdict: {verdict}, {len(self.breaches)} breaches")
        print(f"{verdict}: {len(self.breaches)} breaches", *self.breaches[:5], sep="\n  ")
        return code

    def _show_log(self) -> None:
        for path in sorted(self.folder.rglob("courier.log")):
            self.log(f"the end of {path.relative_to(self.folder)}: {path.read_text()[-1000:]}")


def main(script: str, body: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and end this process with its exit code, without waiting for open connections."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the couriers are ended first
    code = Case(script).run(body)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
