"""What log lines tell about a request or a flow."""

import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester
from fuchsiaspread_operator.internal.decide.tracing import LogLine, trace
from fuchsiaspread_operator.internal.exit_codes import ExitCode
from fuchsiaspread_operator.internal.gather.logs import read_logs
from fuchsiaspread_operator.internal.outcomes import UsageProblem
from fuchsiaspread_operator.main import application
from hypothesis import given, settings
from hypothesis import strategies as st

FLOW = "100.64.0.7:40001-198.18.0.1:443"
DAY = "time=2026-08-18T12:33"
PLACED = f"event=open_placed steady_ms=1100 flow={FLOW} target=i-1 attempt=0"
RESET = f"event=flow_reset steady_ms=1600 flow={FLOW} target=i-1 request=4f-21"
# A collector put its own time and the VM's name in front of each line.
TEXT = f"""
 4.33 entry-1 {DAY}:37.100+00:00 level=info event=started steady_ms=1000 name=entry-1
 4.40 entry-1 {DAY}:37.200+00:00 level=info {PLACED}
 4.50 entry-1 {DAY}:37.700+00:00 level=info {RESET} reason=target_unreachable
not a line
"""


def line(source: str, event: str, recorded_ms: int, steady_ms: int, **fields: str) -> LogLine:
    """Return a line of an entry VM."""
    return LogLine(source, event, recorded_ms, steady_ms, fields)


class TracingTest(unittest.TestCase):
    def test_request_leads_to_its_flow_and_cause(self) -> None:
        """Guards against a request id that ends at one line."""
        lines = (
            line("a", "open_placed", 1_000, 50, flow=FLOW, target="i-1", attempt="1"),
            line("a", "reach_changed", 1_400, 450, target="i-1", is_reachable="False"),
            line("a", "flow_reset", 1_500, 550, flow=FLOW, target="i-1", request="4f-21",
                 reason="target_unreachable"),
            line("a", "open_placed", 1_600, 650, flow="other", target="i-2", attempt="0"),
        )  # fmt: skip
        traced = trace("4f-21", lines)
        self.assertEqual(
            [(one.after_ms, one.event) for one in traced.lines],
            [(0, "open_placed"), (400, "reach_changed"), (500, "flow_reset")],
        )
        self.assertIn("i-1 did not accept connections", traced.verdict)

    def test_jump_of_the_time_of_day_keeps_the_order(self) -> None:
        """Guards against an effect that stands before its cause."""
        lines = (
            line("a", "open_placed", 10_000, 100, flow=FLOW, target="i-1", attempt="0"),
            line("a", "request_repeated", 10_200, 300, flow=FLOW, target="i-1"),
            line("a", "request_unanswered", 7_500, 600, flow=FLOW, target="i-1", end="forgotten"),
        )
        traced = trace(FLOW, lines)
        self.assertEqual([one.after_ms for one in traced.lines], [0, 200, 500])

    def test_restarted_vm_is_placed_by_its_own_clock(self) -> None:
        """Guards against lines of a new process that are placed by the former one's clock."""
        lines = (
            line("a", "open_placed", 1_000, 9_000, flow=FLOW, target="i-1", attempt="0"),
            line("a", "started", 3_000, 5),
            line("a", "flow_reset", 3_400, 405, flow=FLOW, target="i-1", reason="target_gone"),
        )
        self.assertEqual([one.after_ms for one in trace(FLOW, lines).lines], [0, 2_000, 2_400])

    def test_refusal_says_that_nothing_ran(self) -> None:
        """Guards against a verdict that sends an operator to the target."""
        refused = line("a", "open_refused", 1, 1, flow=FLOW, reason="no_route", version="7")
        verdict = trace(FLOW, (refused,)).verdict
        self.assertIn("configuration version 7", verdict)
        self.assertIn("did not run", verdict)

    def test_unnamed_requests_are_no_common_subject(self) -> None:
        """Guards against a trace that mixes all requests whose head was not seen."""
        late = line("a", "request_late", 1, 1, flow=FLOW, target="i-1", request="unknown")
        self.assertFalse(trace("unknown", (late,)).is_known)
        self.assertTrue(trace(FLOW, (late,)).is_known)

    def test_unknown_subject_is_said_plainly(self) -> None:
        """Guards against an empty answer that looks like good news."""
        traced = trace("4f-21", (line("a", "started", 1, 1),))
        self.assertFalse(traced.is_known)
        self.assertIn("No line names 4f-21", traced.verdict)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(TEXT.splitlines()), max_size=8), st.text(max_size=30))
    def test_any_text_is_read(self, lines: list[str], noise: str) -> None:
        """Guards against a traceback on a log that was cut or mixed with other output."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "entry.log")
            path.write_text("\n".join([*lines, noise, *lines]), encoding="utf-8")
            outcome = read_logs([path])
        if not isinstance(outcome, UsageProblem):
            trace("4f-21", outcome)


class TraceCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "day.log")
        self.path.write_text(TEXT, encoding="utf-8")
        self.tester = CommandTester(application().find("trace"))

    def test_command_prints_verdict_and_lines(self) -> None:
        """Guards against lines whose VM or moment is lost."""
        self.assertEqual(self.tester.execute(f"4f-21 {self.path}"), ExitCode.DONE)
        output = self.tester.io.fetch_output()
        self.assertIn("did not accept connections", output)
        self.assertIn("500 ms  entry-1  flow_reset", output)

    def test_unknown_request_is_a_finding(self) -> None:
        """Guards against scripts that take no answer for an explanation."""
        self.assertEqual(self.tester.execute(f"nothing {self.path}"), ExitCode.FINDINGS)

    def test_file_without_lines_is_named(self) -> None:
        """Guards against a mistyped file name that looks like a quiet day."""
        missing = self.path.with_name("missing.log")
        self.assertEqual(self.tester.execute(f"4f-21 {missing}"), ExitCode.USAGE)
        self.assertIn("missing.log", self.tester.io.fetch_error())


if __name__ == "__main__":
    unittest.main()
