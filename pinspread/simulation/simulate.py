"""One run: instances, destinations and clients in a shared virtual time, and the results of the messages."""

from collections.abc import Callable, Mapping
from typing import Any

import numpy as np
from numpy.typing import NDArray

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import Outcome
from pinspread.policy.settings import Settings
from pinspread.simulation import metrics
from pinspread.simulation.clients import ClientBehavior
from pinspread.simulation.destination import build_destinations
from pinspread.simulation.endpoint_directory import EndpointDirectory
from pinspread.simulation.engine import MS, SECOND, Engine
from pinspread.simulation.fault_injection import FaultInjector
from pinspread.simulation.instance import Instance, Policy
from pinspread.simulation.model import FleetModel
from pinspread.simulation.policy_settings import policy_settings
from pinspread.simulation.random_streams import random_seed, random_stream
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.scenario import Scenario

OVERTIME_NS = 30 * SECOND  # maximum extension of a run for messages without a final result
UNANSWERED_RETRY_NS = 200 * MS  # wait of a client that no instance answered, before it tries again


class Simulation:
    """A run of a scenario.

    Args:
        model: The model that the scenario was drawn from.
        scenario: The scenario to run.
        policy_seed: Seed of the policies' random numbers; None for that of the scenario.
        settings: Values that replace policy settings, see `policy_settings`.
        policy_class: Makes the decisions in place of `DeliveryPolicy`.

    Attributes:
        delivered_ns: Time of each message's first delivery; -1 if it was not delivered.
        ended_ns: When the client learned the final result of each message; -1 if it did not.
        executions: How many times each message took effect.
        attempts: Number of attempts begun for each message.
        written: Number of written attempts of each message; each has random numbers of its own.
        attempt_times_ns: Start times of the attempts.
        retry_times_ns: Start times of the attempts that are not the first of their message.
        rejected: Number of rejected submissions.
        unanswered: Number of submissions that no instance answered.
        work_done_ns: Work of the attempts at destinations, as at normal speed.
    """

    def __init__(
        self,
        model: FleetModel,
        scenario: Scenario,
        policy_seed: int | None = None,
        settings: Mapping[str, Any] | None = None,
        policy_class: Callable[[Settings, int], Policy] | None = None,
    ) -> None:
        self.model = model
        self.scenario = scenario
        self.engine = Engine(model.couriers.count + len(scenario.destinations))
        self.policy_seed = scenario.seed if policy_seed is None else policy_seed
        self.policy_class = policy_class or DeliveryPolicy
        self.settings = policy_settings(model, scenario, settings or {})
        self.checker = RuleChecker(self.settings.classes, self.settings.max_attempts)
        self.destinations, self.endpoints = build_destinations(scenario, self.engine, model, self.checker)
        self.delays_ns: list[float] = scenario.delay_ns.tolist()
        self.instances = [Instance(number, self) for number in range(model.couriers.count)]
        shortest_s, longest_s = model.network.list_late_s
        notification_delays_s = random_stream(scenario.seed, "lag").uniform(
            shortest_s, longest_s, model.couriers.count
        )
        notification_delays_ns: list[int] = (notification_delays_s * SECOND).astype(np.int64).tolist()
        self.directory = EndpointDirectory(
            self.engine, self.endpoints, self.instances, notification_delays_ns
        )
        self.client_behavior = ClientBehavior(model, scenario)
        messages = len(scenario.arrival_ns)
        self.delivered_ns: NDArray[np.int64] = np.full(messages, -1, dtype=np.int64)
        self.ended_ns: NDArray[np.int64] = np.full(messages, -1, dtype=np.int64)
        self.executions: NDArray[np.int16] = np.zeros(messages, dtype=np.int16)
        self.attempts: NDArray[np.int16] = np.zeros(messages, dtype=np.int16)
        self.written: NDArray[np.int16] = np.zeros(messages, dtype=np.int16)
        self.rejected = 0
        self.unanswered = 0
        self.outcomes: dict[Outcome, int] = {}
        self.attempt_times_ns: list[int] = []
        self.retry_times_ns: list[int] = []
        self.work_done_ns = 0

    def make_policy(self, instance: int, start: int) -> Policy:
        """Make the policy for a start of an instance; `start` is the number of its earlier starts."""
        return self.policy_class(self.settings, random_seed(self.policy_seed, "module", instance, start))

    def run(self) -> dict[str, Any]:
        """Run the scenario to its end, and return what `metrics.measure` computes from it."""
        engine, scenario = self.engine, self.scenario
        self._schedule_starts()
        faults = FaultInjector(self)
        for fault in scenario.faults:
            faults.schedule(fault)
        if len(scenario.arrival_ns):
            engine.at(int(scenario.arrival_ns[0]), self._arrive, 0)
        engine.run(scenario.length_ns)
        end_ns = scenario.length_ns + OVERTIME_NS
        while engine.now < end_ns and any(instance.messages for instance in self.instances):
            engine.run(engine.now + SECOND)
        running = {instance.number for instance in self.instances if instance.up}
        self.checker.run_ended(engine.now, running)
        return metrics.measure(self)

    def _schedule_starts(self) -> None:
        entries = list(self.directory.entries.values())
        draws = random_stream(self.scenario.seed, "start").random(len(self.instances))
        times_ns = draws * self.model.couriers.start_spread_s * SECOND
        for instance, at_ns in zip(self.instances, times_ns.tolist(), strict=True):
            self.engine.at(int(at_ns), instance.start, entries)

    # --- clients ----------------------------------------------------------------------------------

    def _arrive(self, row: int) -> None:
        """Submit a message, and schedule the arrival of the next one."""
        scenario = self.scenario
        if scenario.submit_delay_ns is None:
            self.submit(row)
        else:  # messages that arrive close together may be submitted in another order
            self.engine.after(int(scenario.submit_delay_ns[row]), self.submit, row)
        following = row + 1
        if following < len(scenario.arrival_ns):
            self.engine.at(int(scenario.arrival_ns[following]), self._arrive, following)

    def submit(self, row: int) -> None:
        """Submit a message, for the first time or again, to the first instance that answers."""
        deadline_ns = self.client_behavior.deadline_ns(row)
        if self.engine.now >= deadline_ns:
            self.message_failed(row)
            return
        instance = self._answering_instance(self.client_behavior.instance_of(row))
        if instance is None:
            self.unanswered += 1
            self.engine.after(UNANSWERED_RETRY_NS, self.submit, row)
            return
        retry_after_ns = instance.accept(row, deadline_ns)
        if retry_after_ns is not None:
            self.rejected += 1
            self.message_rejected(row, retry_after_ns)

    def _answering_instance(self, first: int) -> Instance | None:
        """Return the first instance that is up, in order of number from `first` on, wrapping around."""
        count = len(self.instances)
        for offset in range(count):
            instance = self.instances[(first + offset) % count]
            if instance.up:
                return instance
        return None

    # --- reports of the instances -----------------------------------------------------------------

    def message_delivered(self, row: int) -> None:
        """Record the delivery of a message."""
        if self.delivered_ns[row] < 0:
            self.delivered_ns[row] = self.engine.now
        self.ended_ns[row] = self.engine.now

    def message_rejected(self, row: int, retry_after_ns: int) -> None:
        """Handle the rejection of a message, at once or later: its client may submit it again."""
        delay_ns = self.client_behavior.retry_delay_ns(row, retry_after_ns)
        if delay_ns is None:
            self.ended_ns[row] = self.engine.now
        else:
            self.engine.after(delay_ns, self.submit, row)

    def message_failed(self, row: int) -> None:
        """Record that a message failed or was lost."""
        self.ended_ns[row] = self.engine.now

    def attempt_started(self, row: int) -> None:
        """Record the start of an attempt to deliver a message."""
        self.attempt_times_ns.append(self.engine.now)
        if self.attempts[row]:
            self.retry_times_ns.append(self.engine.now)
        self.attempts[row] += 1

    def work_started(self, row: int, work_ns: int) -> None:
        """Record that an endpoint works on a message."""
        self.executions[row] += 1
        self.work_done_ns += work_ns

    def attempt_completed(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
