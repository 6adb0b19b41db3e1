"""Guard the figures under faults against runs in which too little goes wrong."""

import unittest
from typing import get_args

from fuchsiaspread_bench.fault_sequences import Fault, FaultStep, TargetSilent, fault_sequence
from fuchsiaspread_bench.lies import run_once, seeds
from fuchsiaspread_bench.retry_model import RetryingBalancer


class FaultSequencesTest(unittest.TestCase):
    def test_quick_seeds_cover_every_sort_of_fault(self) -> None:
        """Guards against 0 false answers because a fault never happened."""
        used = [*seeds(0), *seeds(1)]
        met = {type(step.fault) for seed in used for step in fault_sequence(seed)}
        self.assertEqual(met, set(get_args(Fault)))

    def test_retrying_balancer_lies_when_answers_are_lost(self) -> None:
        """Guards against a baseline that the faults do not reach."""
        silent = tuple(FaultStep(100, 2000, TargetSilent(number)) for number in range(7))
        answers = RetryingBalancer(silent, seed=1, request_ms=150).run([50] * 20)
        self.assertGreater(answers.not_run_lies, 15)

    def test_fault_sequence_gives_the_same_outcome_again(self) -> None:
        """Guards against figures that no one can reproduce from the seed."""
        first, second = run_once(3), run_once(3)
        self.assertEqual(first, second)
        self.assertGreater(first.outcomes["answered"], 100)


if __name__ == "__main__":
    unittest.main()
