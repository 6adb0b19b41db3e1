"""A small test language: steps, a parser and a runner on real processes."""

from .language import InvalidScenario, parse_scenario
from .runner import Failure, Runner, run_scenario
from .steps import Scenario, Step

__all__ = [
    "Failure",
    "InvalidScenario",
    "Runner",
    "Scenario",
    "Step",
    "parse_scenario",
    "run_scenario",
]
