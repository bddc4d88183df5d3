"""The model of the fleet: its event loop, the scenarios drawn from it, and its destinations."""

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from simulation_helpers import world

from pinspread.policy.events import Outcome
from pinspread.simulation.destination import Destination, ServingState
from pinspread.simulation.engine import MS, SECOND, Engine, SimulationStalledError
from pinspread.simulation.experiment import Experiment
from pinspread.simulation.experiment_file import ExperimentError, ExperimentFile
from pinspread.simulation.model import FleetModel
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.scenario import DestinationSpec, draw_scenario
from pinspread.simulation.simulate import Simulation


@given(st.lists(st.integers(0, 50), max_size=40))
def test_events_come_in_order_of_time_and_among_equals_as_they_were_put(delays):
    engine, seen = Engine(), []
    for n, delay in enumerate(delays):
        engine.at(delay, lambda n=n, delay=delay: seen.append((delay, n)))
    engine.run(100)
    assert seen == sorted(seen) and len(seen) == len(delays) and engine.now == 100


def test_an_event_that_plans_itself_for_ever_is_reported_as_stalled():
    engine = Engine()

    def again():
        engine.after(1, again)

    again()
    with pytest.raises(SimulationStalledError, match="within 10 ms"):
        engine.run(SECOND)


def test_a_day_is_the_same_for_a_seed_whatever_is_changed_that_it_does_not_depend_on():
    a = draw_scenario(world(), 5)
    b = draw_scenario(world(couriers={"probes": False}), 5)
    assert (
        (a.arrival_ns == b.arrival_ns).all()
        and (a.work_ns == b.work_ns).all()
        and a.destinations == b.destinations
    )
    assert not np.array_equal(a.arrival_ns, draw_scenario(world(), 6).arrival_ns)


def test_a_day_holds_to_the_figures_of_its_model():
    model = world(length_s=300)
    scenario = draw_scenario(model, 3)
    assert len(scenario.arrival_ns) == pytest.approx(31 * 300, rel=0.1)
    shares = np.bincount(scenario.class_index, minlength=3) / len(scenario.class_index)
    assert shares == pytest.approx([0.40, 0.31, 0.29], abs=0.03)
    assert sum(len(spec.cores) for spec in scenario.destinations) == 25
    assert all(1 <= len(spec.cores) <= 4 for spec in scenario.destinations)
    assert (scenario.ordering_key > 0).sum() == (scenario.class_index == 0).sum()
    assert scenario.work_ns[scenario.class_index == 0].mean() / MS == pytest.approx(118, rel=0.05)


@pytest.mark.parametrize(
    ("tables", "place"),
    [
        ({"length": 3}, "length"),
        ({"traffic": {"zipf": [2, 1]}}, "traffic.zipf"),
        ({"traffic": {"load": 0}}, "traffic.load"),
        ({"couriers": {"max_attempts": 7}}, "couriers.max_attempts"),
        ({"team": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}, "team: the shares"),
        ({"trouble": [{"kind": "silent", "at_s": 99}]}, "trouble[0].at_s"),
        ({"trouble": [{"kind": "flood", "at_s": 1}]}, "trouble[0].kind"),
    ],
)
def test_a_malformed_model_is_refused_with_its_place(tables, place, tmp_path):
    lines = ["[experiment]", 'name = "x"']
    file = tmp_path / "x.toml"
    file.write_text("\n".join(lines) + "\n")
    experiment_file = ExperimentFile.model_validate(
        {"experiment": {"name": "x"}, "world": {"length_s": 15} | tables}
    )
    with pytest.raises(ExperimentError) as caught:
        Experiment(experiment_file, tmp_path)
    assert place in str(caught.value)


class Caller:
    def __init__(self, sender=0, random_numbers=(0.5, 0.5, 0.5, 0.5)):
        self.instance, self.draws, self.responses, self.executed = sender, random_numbers, [], False

    def work_started(self):
        self.executed = True

    def respond(self, outcome, retry_after_ns):
        self.responses.append((outcome, retry_after_ns))

    def reset(self):
        self.responses.append((Outcome.RESET, 0))


def build_destination(**fields):
    engine, model = Engine(), world()
    spec = DestinationSpec(1, 1.0, False, 1.0, [2], [3], [0], 20.0)
    for name, value in fields.items():
        setattr(spec, name, value)
    destination = Destination(spec, engine, model, RuleChecker([], 6), 1)
    return engine, destination, destination.endpoints[0]


def test_calls_beyond_the_cores_wait_and_those_beyond_the_queue_are_rejected():
    engine, destination, endpoint = build_destination()
    calls = [Caller() for _ in range(6)]
    for call in calls:
        destination.arrive(endpoint, call, 100 * MS)
    assert [call.executed for call in calls] == [True, True, False, False, False, False]
    assert calls[5].responses == [(Outcome.OVERLOADED, 0)]
    engine.run(100 * MS)
    assert [call.executed for call in calls[:4]] == [True] * 4
    engine.run(SECOND)
    assert all(call.responses == [(Outcome.OK, 0)] for call in calls[:5])


@pytest.mark.parametrize("counts", [True, False])
def test_a_rate_limit_counts_calls_per_window_and_rejected_calls_if_configured(counts):
    engine, destination, endpoint = build_destination(
        limit_window_ns=SECOND,
        limit_calls=2,
        retry_after_share=1.0,
        rejections_count=counts,
        queue_limits=[99],
        cores=[50],
    )
    calls = [Caller() for _ in range(4)]
    engine.run(200 * MS)
    for call in calls:
        destination.arrive(endpoint, call, MS)
    assert [call.responses for call in calls[2:]] == [[(Outcome.OVERLOADED, 800 * MS)]] * 2
    assert destination.limiter.calls == (4 if counts else 2)
    engine.run(SECOND)
    late = Caller()
    destination.arrive(endpoint, late, MS)
    engine.run(1100 * MS)
    assert late.responses == [(Outcome.OK, 0)]


def test_a_destination_returns_at_a_fifth_is_warm_in_9_s_and_fails_when_overloaded():
    engine, destination, endpoint = build_destination(capacity_per_s=4.0)
    destination.start_outage(ServingState.CRASHED, 0)
    destination.record_failure(7)
    destination.end_outage()
    assert destination.capacity_fraction() == pytest.approx(0.2)
    engine.run(4500 * MS)
    assert destination.capacity_fraction() == pytest.approx(0.6)
    destination.start_outage(ServingState.CRASHED, engine.now)
    destination.record_failure(7)
    destination.end_outage()  # slow start begins again
    for _ in range(12):
        destination.arrive(endpoint, Caller(sender=7), MS)
    assert len(destination.collapses) == 1 and destination.observer.counts["cold"] == 1
    assert endpoint.state is not ServingState.UP


def test_an_outage_that_ends_inside_another_does_not_bring_the_destination_back():
    engine, destination, endpoint = build_destination()
    destination.start_outage(ServingState.CRASHED, 4 * SECOND)
    destination.record_failure(7)
    engine.run(2 * SECOND)
    destination.start_outage(ServingState.REJECTING, 9 * SECOND)
    engine.run(4 * SECOND)
    destination.end_outage()
    assert endpoint.state is ServingState.REJECTING and destination.informed_instances == {7}
    engine.run(9 * SECOND)
    destination.end_outage()
    assert endpoint.state is ServingState.UP and destination.capacity_fraction() == pytest.approx(0.2)


def test_a_sender_that_could_not_know_is_not_blamed_for_an_overload():
    engine, destination, endpoint = build_destination(capacity_per_s=4.0)
    destination.start_outage(ServingState.CRASHED, 0)
    destination.end_outage()
    for _ in range(12):
        destination.arrive(endpoint, Caller(sender=7), MS)
    assert len(destination.collapses) == 1 and destination.observer.counts["cold"] == 0


def test_requests_in_progress_are_lost_with_the_process_and_never_answered_as_done():
    engine, destination, endpoint = build_destination()
    call = Caller()
    destination.arrive(endpoint, call, 100 * MS)
    destination.start_outage(ServingState.CRASHED, 0)
    engine.run(SECOND)
    assert call.responses == []


@pytest.mark.parametrize(("meets", "verdict"), [("busy", "overloaded"), ("refused", "connect_failed")])
def test_a_connection_too_many_is_rejected_as_the_model_says(meets, verdict):
    tables = {"table": 0.5, "least_table": 2.0}
    traffic = {"load": 0.8, "clump_share": 0.3}
    model = FleetModel.model_validate(
        {"length_s": 10, "network": {"full_table": meets}, "traffic": traffic, "partners": tables}
    )
    result = Simulation(model, draw_scenario(model, 5)).run()
    assert result["verdicts"].get(verdict, 0) > 20 and not result["broken"]
    assert (verdict == "connect_failed") == (result["verdicts"].get("connect_failed", 0) > 0)


@pytest.mark.parametrize("seed", [21, 38])
def test_many_couriers_do_not_overload_a_destination_that_warms_up(seed):
    # An immediate health check of each endpoint by each courier broke rule `cold` here with 8 of 8 seeds.
    down = {"kind": "crash", "at_s": 8, "length_s": 12, "share": 0.2}
    model = FleetModel.model_validate({"length_s": 34, "couriers": {"count": 6}, "trouble": [down]})
    results = [Simulation(model, draw_scenario(model, seed), n).run() for n in range(3)]
    assert sum(bool(result["broken"]) for result in results) <= 1


def test_a_day_of_which_nothing_would_be_counted_is_refused():
    with pytest.raises(ValueError, match="greater than 1"):
        FleetModel.model_validate({"length_s": 1.0})
    model = FleetModel.model_validate({"length_s": 1.2})
    assert Simulation(model, draw_scenario(model, 1)).run()["service"] > 0
