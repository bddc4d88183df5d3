"""Helpers for the tests of the simulation: small models, one run, and a small experiment file."""

from pathlib import Path

from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import draw_scenario
from pinspread.simulation.simulate import Simulation

ROOT = Path(__file__).parents[1]


def world(**tables):
    return FleetModel.model_validate({"length_s": 15} | tables)


def run_simulation(model, seed=1, **options):
    return Simulation(model, draw_scenario(model, seed), **options).run()


SMALL_EXPERIMENT = """
[experiment]
name = "small"
seeds = 2

[world]
length_s = 4

[[variant]]
name = "as is"

[[variant]]
name = "few slots"
settings = { calls_out = 2 }
"""
