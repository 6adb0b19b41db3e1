"""Tests of the parser of the scenario language."""

import unittest

from fuchsiaspread_standins.internal.faults import Lose
from fuchsiaspread_standins.internal.publishing import Drain
from fuchsiaspread_standins.internal.serving import BeSilent
from fuchsiaspread_standins.platform import Slow
from fuchsiaspread_standins.scenario import InvalidScenario, Scenario, parse_scenario, steps
from fuchsiaspread_standins.scenario.language import GRAMMAR, STEP_BUILDERS

TEXT = """
deployment empresa   # comment
load 20 streams on screens every 100ms
load 5 requests on job-cards working 2s over 1s

change drain desk-2
fault platform slow by 200ms
fault target desk-1 silent
fault lose 5%
expect broken streams at most 0
"""


class ParserTest(unittest.TestCase):
    """Guards against a parser that builds a wrong step or accepts an invalid line."""

    def test_lines_become_steps(self):
        parsed = parse_scenario(TEXT)
        self.assertIsInstance(parsed, Scenario)
        self.assertEqual("empresa", parsed.example)
        self.assertEqual(
            [
                (3, steps.LoadStreams(20, "screens", 100)),
                (4, steps.LoadRequests(5, "job-cards", 2000, 1000)),
                (6, steps.ChangeFiles(Drain("desk-2"))),
                (7, steps.SetPlatformCondition(Slow(200))),
                (8, steps.SetTargetBehaviour("desk-1", BeSilent())),
                (9, steps.AddLinkFault(Lose(0.05))),
                (10, steps.ExpectBrokenStreams(0)),
            ],
            [(numbered.line, numbered.step) for numbered in parsed.steps],
        )

    def test_an_invalid_line_is_reported(self):
        for line, problem in (
            ("fault kil entry-1", "unexpected: kil entry-1"),
            ("expect quiet", "unexpected end of the line"),
        ):
            with self.subTest(line):
                parsed = parse_scenario(f"deployment empresa\n{line}")
                self.assertEqual(InvalidScenario(2, line, problem), parsed)

    def test_a_scenario_without_a_deployment_is_invalid(self):
        self.assertIsInstance(parse_scenario("wait 1s"), InvalidScenario)

    def test_every_rule_of_the_grammar_builds_a_step(self):
        named = {line.split("->")[1].strip() for line in GRAMMAR.splitlines() if "->" in line}
        self.assertEqual(named, set(STEP_BUILDERS))
