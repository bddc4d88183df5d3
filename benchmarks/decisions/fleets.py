"""Streams of single policies recorded from simulated days of a fleet.

Events that the model lacks are added for the recorded couriers: answers to polls of the endpoint list, load
reports, and the flag of messages recovered by a restart.
"""

import random
from typing import Any, NamedTuple

from decisions.recorder import Recorder
from pinspread.policy.actions import Subscribe
from pinspread.policy.events import AttemptCompleted, MessageAccepted, Outcome, UpdateScope
from pinspread.simulation import scenario, simulate
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_seed

MS, SECOND = 1_000_000, 1_000_000_000
MAX_TURNS = 1200
DAY_LENGTH_S = 15


class RecordedCourier:
    """Replaces a courier's policy: adds what the model lacks to its events, and records it."""

    def __init__(self, fleet, courier, recorder, start):
        self.fleet, self.courier, self.recorder, self.start = fleet, courier, recorder, start
        self.rng = random.Random(courier * 100 + start)
        self.is_first_turn = True

    def handle(self, now_ns, events):
        """Complete a turn's events, pass them to the recorded policy, and return its actions."""
        for event in events:
            if isinstance(event, MessageAccepted) and self.is_first_turn and self.start:
                event.recovered = True
                event.max_attempts = event.attempts + 4
            if isinstance(event, AttemptCompleted) and self.fleet.reports_limits:
                event.limit_per_s = float(
                    self.fleet.endpoints[event.endpoint].destination.spec.capacity_per_s
                )
                overloaded = event.outcome is Outcome.OVERLOADED
                event.limit_remaining = 0.0 if overloaded else round(self.rng.random(), 3)
        self.is_first_turn = False
        actions = self.recorder.handle(now_ns, events)
        if any(isinstance(action, Subscribe) for action in actions):
            incarnation = self.fleet.instances[self.courier].incarnation
            self.fleet.engine.after(80 * MS, self.answer_poll, incarnation)
        return actions

    def answer_poll(self, incarnation):
        """Answer a poll of the endpoint list, unless the courier that polled has stopped."""
        courier = self.fleet.instances[self.courier]
        if courier.incarnation != incarnation or not courier.up:
            return
        if self.rng.random() < 0.4:
            courier.update_endpoints(UpdateScope.FAILED, [])
        else:
            courier.update_endpoints(UpdateScope.FULL, list(self.fleet.directory.entries.values()))


class RecordedFleet(simulate.Simulation):
    """A fleet in which the policies of some couriers are recorded, with a separate stream for each process."""

    def __init__(self, day, *simulation_arguments, **options):
        super().__init__(*simulation_arguments, **options)
        self.day = day
        self.reports_limits = day.reports_limits
        self.recorders = []

    def make_policy(self, courier, start):
        """Return the policy of a courier's process; `start` counts the courier's starts."""
        if courier not in self.day.recorded:
            return super().make_policy(courier, start)
        seed = random_seed(self.policy_seed, "module", courier, start)
        name = f"fleet-{self.day.name}-{courier}-{start}"
        self.recorders.append(Recorder(name, self.settings, seed, MAX_TURNS))
        return RecordedCourier(self, courier, self.recorders[-1], start)


class FleetDay(NamedTuple):
    """One simulated day, and the couriers whose policies are recorded."""

    name: str
    seed: int
    couriers: int
    recorded: tuple[int, ...]  # numbers of the couriers
    reports_limits: bool = False  # whether answers carry load reports
    model: dict[str, Any] = {}  # tables of the model that differ from the defaults
    settings: dict[str, Any] = {}  # settings that differ from those of the model


POLLED = {
    "list_on_request": True,
    "must_ask_in_ns": 6 * SECOND,
    "halves": False,
    "crossing_price": 0.05,
    "may_cancel": True,
    "order_pause_ns": 300 * MS,
}
STORM = [
    {"kind": "silent", "at_s": 4, "length_s": 4, "share": 0.3},
    {"kind": "kill", "at_s": 5, "length_s": 3, "share": 0.9, "batch": 0.4},
    {"kind": "replace", "at_s": 3, "share": 0.3},
    {"kind": "shut", "at_s": 6, "length_s": 5, "share": 0.4},
]
OUTAGES = [
    {"kind": "crash", "at_s": 3, "length_s": 5, "share": 0.4},
    {"kind": "errors", "at_s": 9, "length_s": 4, "share": 0.4, "size": 0.9},
    {"kind": "drain", "at_s": 2, "length_s": 4, "share": 0.2},
]
LOWERED = [
    {"kind": "shut", "at_s": 3, "length_s": 6, "share": 0.5},
    {"kind": "burst", "at_s": 2, "size": 2.5},
]
RESTARTS = [
    {"kind": "restart", "at_s": 4, "share": 0.9},
    {"kind": "silent", "at_s": 3, "share": 0.5, "length_s": 6},
]
KILLS = [
    {"kind": "kill", "at_s": 4, "share": 0.9, "batch": 0.5},
    {"kind": "crash", "at_s": 4, "share": 0.9, "length_s": 6},
]
DAYS = (
    FleetDay("calm", 1, 3, (0,)),
    FleetDay("storm", 2, 3, (0, 1), model={"trouble": STORM}),
    FleetDay("outages", 3, 4, (0,), model={"trouble": OUTAGES}, settings={"order_pause_ns": 200 * MS}),
    FleetDay("lowered", 4, 3, (0,), reports_limits=True, model={"trouble": LOWERED}),
    FleetDay("asked", 5, 3, (1,), model={"trouble": STORM}, settings=POLLED),
    FleetDay(
        "asked-40",
        6,
        40,
        (0, 17),
        reports_limits=True,
        model={"trouble": OUTAGES, "traffic": {"rate_per_s": 120.0}},
        settings=POLLED,
    ),
    FleetDay(
        "lowered-40",
        7,
        40,
        (3, 4),
        reports_limits=True,
        model={"trouble": LOWERED, "traffic": {"rate_per_s": 120.0}},
        settings={"weights_exact": False},
    ),
    FleetDay("storm-200", 8, 200, (0, 50, 150), model={"trouble": STORM, "traffic": {"rate_per_s": 300.0}}),
    FleetDay(
        "cold-200",
        9,
        200,
        (1, 99),
        reports_limits=True,
        model={"trouble": OUTAGES, "traffic": {"rate_per_s": 300.0}},
        settings={"weights_known": False},
    ),
    FleetDay("restarts", 12, 3, (0,), model={"trouble": RESTARTS}, settings={"weights_known": False}),
    FleetDay(
        "kills-12",
        13,
        12,
        (0, 6),
        model={"traffic": {"rate_per_s": 90.0}, "trouble": KILLS},
        settings={"most_held": 200},
    ),
    FleetDay("lossy", 10, 3, (2,), model={"network": {"lost_share": 0.04, "reset_share": 0.03}}),
    FleetDay(
        "tables-12",
        11,
        12,
        (5,),
        model={"traffic": {"rate_per_s": 60.0}, "partners": {"table": 0.5, "least_table": 1}},
    ),
)


def record_fleets():
    """Simulate all days, and return the recorders of their policies."""
    recorders = []
    for day in DAYS:
        tables = {"length_s": DAY_LENGTH_S, "couriers": {"count": day.couriers}} | day.model
        model = FleetModel.model_validate(tables)
        drawn = scenario.draw_scenario(model, day.seed)
        fleet = RecordedFleet(day, model, drawn, settings=day.settings)
        fleet.run()
        recorders += fleet.recorders
    return recorders
