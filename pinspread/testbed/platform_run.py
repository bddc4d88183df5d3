"""The state and counters that the parts of one run of the platform's test bed share.

`simulation.metrics` computes the metrics of a run from these attributes, under their names here.
"""

import os
from itertools import count

import numpy as np
import numpy.typing as npt

from pinspread.policy.events import Outcome
from pinspread.simulation.clients import ClientBehavior
from pinspread.simulation.destination import build_destinations
from pinspread.simulation.model import FleetModel
from pinspread.simulation.policy_settings import policy_settings
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.scenario import Scenario
from pinspread.testbed.real_time import RealTimeEngine

DELIVERED = "delivered"
ROW_DIGITS = 8  # hexadecimal digits of a message id that are the message's row in the scenario
COURIERS_PER_BLOCK = 16
FIRST_PORT = 21_000
FIRST_ENDPOINT_PORT = 21_010
# Test beds that run side by side take different blocks of addresses, so that they do not collide.
_blocks = count(os.getpid() % 200 * 64)


class LoopbackAddresses:
    """The addresses of one test bed; each courier has its own host for itself and all parties it reaches."""

    def __init__(self) -> None:
        self.block = next(_blocks)

    def courier(self, courier: int) -> str:
        """The address at which a courier listens."""
        return f"{self._host(courier)}:{FIRST_PORT}"

    def platform(self, courier: int) -> str:
        """The address of discovery and of the notifications' receiver, for one courier."""
        return f"{self._host(courier)}:{FIRST_PORT + 1}"

    def endpoint(self, courier: int, endpoint_id: int) -> str:
        """The address of an endpoint, for one courier."""
        return f"{self._host(courier)}:{FIRST_ENDPOINT_PORT + endpoint_id}"

    def _host(self, courier: int) -> str:
        index = self.block * COURIERS_PER_BLOCK + courier
        return f"127.{10 + index // 62_500 % 200}.{index // 250 % 250}.{1 + index % 250}"


class _OverloadsIgnored:
    """Replaces the rule checker in destinations, whose overloads are checked after the run."""

    @staticmethod
    def destination_collapsed(*arguments: object) -> None:
        """Ignore that a destination was overloaded while it warmed up."""


class PlatformRun:
    """One run of a scenario: its parties, and the outcome of its messages.

    Attributes:
        delivered_ns: When each message was first delivered; -1 before.
        ended_ns: When each message ended, delivered or not; -1 before.
        executions: How often each message took effect.
        attempts: How many attempts of each message reached an endpoint.
        rejected: How many submissions were refused with -BUSY.
        unanswered: How many submissions got no answer.
        accepted: Ids that a courier may have accepted, with the message's row.
        finals: The final result of each id.
        unheard: Number of calls that took effect, but whose caller was gone when they were answered.
        calls_after_drain: Number of calls to a draining endpoint later than the grace after the caller was
            notified.
        draining_since: When a courier was notified that an endpoint drains or is gone; by courier, endpoint.
        attempt_times_ns: When the couriers' attempts began.
        retry_times_ns: When the couriers' attempts other than a message's first began.
    """

    def __init__(self, model: FleetModel, scenario: Scenario) -> None:
        self.model = model
        self.scenario = scenario
        self.engine = RealTimeEngine()
        self.addresses = LoopbackAddresses()
        self.settings = policy_settings(model, scenario, {})
        self.checker = RuleChecker(self.settings.classes, self.settings.max_attempts)
        self.clients = ClientBehavior(model, scenario)
        # Which courier knew of an outage is known only from the logs, after the run: see `courier_logs`.
        self.destinations, self.endpoints = build_destinations(
            scenario, self.engine, model, _OverloadsIgnored
        )
        self.initial_endpoints = len(self.endpoints)
        messages = len(scenario.arrival_ns)
        self.delivered_ns: npt.NDArray[np.int64] = np.full(messages, -1, dtype=np.int64)
        self.ended_ns: npt.NDArray[np.int64] = np.full(messages, -1, dtype=np.int64)
        self.executions: npt.NDArray[np.int16] = np.zeros(messages, dtype=np.int16)
        self.attempts: npt.NDArray[np.int16] = np.zeros(messages, dtype=np.int16)
        self.rejected = self.unanswered = self.handshakes = self.health_checks = self.work_done_ns = 0
        self.turns = 0
        self.outcomes: dict[Outcome, int] = {}
        self.attempt_times_ns: list[int] = []
        self.retry_times_ns: list[int] = []
        self.accepted: dict[str, int] = {}
        self.finals: dict[str, str] = {}
        self.unheard = 0
        self.calls_after_drain = 0
        self.draining_since: dict[tuple[int, int], int] = {}

    @property
    def instances(self) -> list["PlatformRun"]:
        """The instances that `metrics` reads: this run, whose counters cover all couriers."""
        return [self]

    def row(self, message_id: str) -> int:
        """The row in the scenario of the message that was submitted under `message_id`."""
        return int(message_id[:ROW_DIGITS], 16)

    def open_messages(self) -> set[str]:
        """Ids that may have been accepted and have no final result yet."""
        return self.accepted.keys() - self.finals.keys()

    def count_outcome(self, outcome: Outcome) -> None:
        """Count an endpoint's answer to a call."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def record_delivery(self, row: int, message_id: str) -> None:
        """Record the delivery of a message, which its courier learns from the answer."""
        if self.delivered_ns[row] < 0:
            self.delivered_ns[row] = self.ended_ns[row] = self.engine.now
        self.finals.setdefault(message_id, DELIVERED)
