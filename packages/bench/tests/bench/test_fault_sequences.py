"""Tests that the fault benchmarks really inject faults and are reproducible."""

import unittest
from typing import get_args

from fuchsiaspread_bench.fault_sequences import Fault, FaultStep, TargetSilent, fault_sequence
from fuchsiaspread_bench.lies import run_once, seeds
from fuchsiaspread_bench.retry_model import RetryingBalancer


class FaultSequencesTest(unittest.TestCase):
    def test_quick_seeds_cover_every_kind_of_fault(self) -> None:
        """Guards against 0 false answers only because a kind of fault was never injected."""
        used = [*seeds(0), *seeds(1)]
        kinds = {type(step.fault) for seed in used for step in fault_sequence(seed)}
        self.assertEqual(kinds, set(get_args(Fault)))

    def test_retrying_balancer_gives_false_answers_if_responses_are_lost(self) -> None:
        """Guards against a baseline that the faults do not affect."""
        silent = tuple(FaultStep(100, 2000, TargetSilent(number)) for number in range(7))
        answers = RetryingBalancer(silent, seed=1, request_ms=150).run([50] * 20)
        self.assertGreater(answers.not_run_lies, 15)

    def test_same_seed_gives_the_same_outcome(self) -> None:
        """Guards against figures that cannot be reproduced from the seed."""
        first, second = run_once(3), run_once(3)
        self.assertEqual(first, second)
        self.assertGreater(first.outcomes["answered"], 100)


if __name__ == "__main__":
    unittest.main()
