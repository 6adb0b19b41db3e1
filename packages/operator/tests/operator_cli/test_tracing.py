"""Tests of the trace of a request or a flow through log files."""

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
# Each line has a prefix of a log collector: a timestamp and the VM's name.
TEXT = f"""
 4.33 entry-1 {DAY}:37.100+00:00 level=info event=started steady_ms=1000 name=entry-1
 4.40 entry-1 {DAY}:37.200+00:00 level=info {PLACED}
 4.50 entry-1 {DAY}:37.700+00:00 level=info {RESET} reason=target_unreachable
not a line
"""


def line(source: str, event: str, recorded_ms: int, steady_ms: int, **fields: str) -> LogLine:
    """Return a log line of an entry VM."""
    return LogLine(source, event, recorded_ms, steady_ms, fields)


class TracingTest(unittest.TestCase):
    def test_request_leads_to_its_flow_and_cause(self) -> None:
        """Guards against a trace that shows only the line with the request id, not its flow."""
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

    def test_wall_clock_jump_keeps_the_order(self) -> None:
        """Guards against effects sorted before their causes after the wall clock is set back."""
        lines = (
            line("a", "open_placed", 10_000, 100, flow=FLOW, target="i-1", attempt="0"),
            line("a", "request_repeated", 10_200, 300, flow=FLOW, target="i-1"),
            line("a", "request_unanswered", 7_500, 600, flow=FLOW, target="i-1", end="forgotten"),
        )
        traced = trace(FLOW, lines)
        self.assertEqual([one.after_ms for one in traced.lines], [0, 200, 500])

    def test_restart_begins_a_new_clock(self) -> None:
        """Guards against aligning a restarted process by the clock offset of the previous one."""
        lines = (
            line("a", "open_placed", 1_000, 9_000, flow=FLOW, target="i-1", attempt="0"),
            line("a", "started", 3_000, 5),
            line("a", "flow_reset", 3_400, 405, flow=FLOW, target="i-1", reason="target_gone"),
        )
        self.assertEqual([one.after_ms for one in trace(FLOW, lines).lines], [0, 2_000, 2_400])

    def test_refusal_verdict_says_that_nothing_ran(self) -> None:
        """Guards against a verdict that makes an operator search the target for a refused open."""
        refused = line("a", "open_refused", 1, 1, flow=FLOW, reason="no_route", version="7")
        verdict = trace(FLOW, (refused,)).verdict
        self.assertIn("configuration version 7", verdict)
        self.assertIn("did not run", verdict)

    def test_unknown_request_id_is_not_a_subject(self) -> None:
        """Guards against a trace that mixes all requests whose headers were not seen."""
        late = line("a", "request_late", 1, 1, flow=FLOW, target="i-1", request="unknown")
        self.assertFalse(trace("unknown", (late,)).is_known)
        self.assertTrue(trace(FLOW, (late,)).is_known)

    def test_unknown_subject_has_a_clear_verdict(self) -> None:
        """Guards against an empty trace that could be mistaken for a request without problems."""
        traced = trace("4f-21", (line("a", "started", 1, 1),))
        self.assertFalse(traced.is_known)
        self.assertIn("No line names 4f-21", traced.verdict)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(TEXT.splitlines()), max_size=8), st.text(max_size=30))
    def test_any_text_is_read(self, lines: list[str], noise: str) -> None:
        """Guards against a traceback on logs that are truncated or mixed with other output."""
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
        """Guards against output lines without the VM's name or the relative time."""
        self.assertEqual(self.tester.execute(f"4f-21 {self.path}"), ExitCode.DONE)
        output = self.tester.io.fetch_output()
        self.assertIn("did not accept connections", output)
        self.assertIn("500 ms  entry-1  flow_reset", output)

    def test_unknown_request_is_a_finding(self) -> None:
        """Guards against exit code 0 if no line mentions the subject."""
        self.assertEqual(self.tester.execute(f"nothing {self.path}"), ExitCode.FINDINGS)

    def test_file_without_lines_is_named(self) -> None:
        """Guards against a mistyped file name that looks like a log without events."""
        missing = self.path.with_name("missing.log")
        self.assertEqual(self.tester.execute(f"4f-21 {missing}"), ExitCode.USAGE)
        self.assertIn("missing.log", self.tester.io.fetch_error())


if __name__ == "__main__":
    unittest.main()
