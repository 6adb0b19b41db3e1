"""Tests of the checks on the reports of callers and targets."""

import unittest
from collections import Counter

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.caller import CallerReport, FlowCounts
from fuchsiaspread_standins.fleet import SiteReport
from fuchsiaspread_standins.internal.serving import TargetReport
from fuchsiaspread_standins.outcomes import (
    Answered,
    BreakReason,
    Broken,
    FlowEnded,
    NotRun,
    TimedOut,
)
from fuchsiaspread_standins.scenario.expectations import (
    check_broken_requests,
    check_quiet,
    check_streams,
    invariant_violations,
)

ADDRESS = Endpoint("10.20.0.1", 7001)


def ended(identifier, outcome, is_stream=False):
    return FlowEnded(identifier, ADDRESS, is_stream, 10, outcome)


def callers(*flows):
    return CallerReport(len(flows), len(flows), 0, 0, 0, FlowCounts(), flows)


def target(executed=(), wrong_service_count=0, last_open_ms=None):
    return TargetReport("t", Counter(executed), wrong_service_count, 0, last_open_ms, 0, 0, 0)


class Invariants(unittest.TestCase):
    """Guards against a scenario that passes although an invariant was violated."""

    def problems(self, flows, *targets):
        report = SiteReport(callers(*flows), targets)
        return [failed.problem for failed in invariant_violations(report)]

    def test_a_clean_run_has_no_problem(self):
        flows = [ended("a", Answered("t")), ended("b", NotRun()), ended("c", TimedOut(True))]
        self.assertEqual([], self.problems(flows, target(["a", "c"])))

    def test_a_refused_request_that_ran_is_found(self):
        (problem,) = self.problems([ended("a", NotRun())], target(["a"]))
        self.assertIn("reported as not run, but run: a", problem)

    def test_a_request_that_ran_at_two_targets_is_found(self):
        (problem,) = self.problems([ended("a", Answered("t"))], target(["a"]), target(["a"]))
        self.assertIn("run twice: a", problem)

    def test_a_packet_at_a_wrong_service_is_found(self):
        self.assertEqual(1, len(self.problems([], target(wrong_service_count=1))))

    def test_a_crossed_answer_is_found(self):
        flows = [ended("a", Broken(BreakReason.CROSSED))]
        self.assertEqual(1, len(self.problems(flows, target())))


class Bounds(unittest.TestCase):
    """Guards against broken flows and late work that a scenario does not count."""

    def test_a_stream_that_never_ended_counts_as_broken(self):
        report = callers(ended("a", Answered("t"), is_stream=True))
        self.assertIsNone(check_streams(report, 1, 0))
        self.assertIsNotNone(check_streams(report, 2, 0))

    def test_a_request_without_an_answer_counts_as_broken(self):
        report = callers(ended("a", TimedOut(False)), ended("b", NotRun()))
        self.assertIsNone(check_broken_requests(report, 1))
        self.assertIsNotNone(check_broken_requests(report, 0))

    def test_work_later_than_3_s_after_a_drain_is_found(self):
        self.assertIsNone(check_quiet(target(last_open_ms=4000), 1000))
        self.assertIsNotNone(check_quiet(target(last_open_ms=4001), 1000))
        self.assertIsNotNone(check_quiet(target(), None))
