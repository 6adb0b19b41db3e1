"""Tests that the operations page covers all log events, metrics and reasons."""

import re
import unittest
from pathlib import Path

import fuchsiaspread_entry
from fuchsiaspread_core.notices import DropReason, RefusalReason
from fuchsiaspread_core.objectives import BROKEN_ENDS
from fuchsiaspread_entry.internal.counts import Metric
from fuchsiaspread_entry.peer_codec import PeerFault

PAGE = (Path(__file__).resolve().parents[4] / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
SOURCES = Path(fuchsiaspread_entry.__file__).parent
LEVELLED_EVENT = re.compile(r'Level\.[A-Z]+,\s*"([a-z_]+)"')
PLAIN_EVENT = re.compile(r'log\.write\(\s*level, "([a-z_]+)"')


class OperationsPageTest(unittest.TestCase):
    def test_each_log_event_has_a_line(self) -> None:
        """Guards against a log event for which the page gives an operator no next step."""
        texts = [path.read_text(encoding="utf-8") for path in SOURCES.rglob("*.py")]
        events = {e for t in texts for p in (LEVELLED_EVENT, PLAIN_EVENT) for e in p.findall(t)}
        self.assertIn("flow_broken", events)
        self.assertEqual([e for e in sorted(events) if f"`{e}`" not in PAGE], [])

    def test_each_metric_and_reason_has_a_line(self) -> None:
        """Guards against a metric or a reason for which the page gives an operator no next step."""
        metrics = [str(m).removeprefix("fuchsiaspread.").replace(".", "_") for m in Metric]
        reasons = [*DropReason, *RefusalReason, *BROKEN_ENDS, *PeerFault]
        names = [*metrics, *map(str, reasons)]
        self.assertEqual([n for n in names if not re.search(rf"`{n}(_bytes)?(_total)?`", PAGE)], [])
