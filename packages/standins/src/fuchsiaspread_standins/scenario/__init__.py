"""A small language for test scenarios: its steps, its parser and a runner on real processes."""

from .language import InvalidScenario, parse_scenario
from .runner import Runner, ScenarioFailure, run_scenario
from .steps import Scenario, Step

__all__ = [
    "InvalidScenario",
    "Runner",
    "Scenario",
    "ScenarioFailure",
    "Step",
    "parse_scenario",
    "run_scenario",
]
