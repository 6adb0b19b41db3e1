"""Tests of the problems that the demo reports."""

import unittest
from dataclasses import fields

from fuchsiaspread_standins.demo import refusal_problems
from fuchsiaspread_standins.scenario.expectations import Tally


def counts(refused: int) -> Tally:
    values = {one.name: () if "tuple" in str(one.type) else 0 for one in fields(Tally)}
    return Tally(**(values | {"refused": refused}))


class DemoTest(unittest.TestCase):
    def test_refused_light_load_is_a_failure(self) -> None:
        """Guards against a demo that passes although requests were refused."""
        self.assertEqual(refusal_problems(counts(0)), [])
        (problem,) = refusal_problems(counts(417))
        self.assertIn("417", problem)
