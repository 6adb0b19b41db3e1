"""Log lines for the notices of the direct core."""

import unittest

from fuchsiaspread_core.direct.notices import RequestAnswered, RequestEnd, RequestUnanswered
from fuchsiaspread_core.identifiers import Endpoint, ServiceName, TargetName, flow_key
from fuchsiaspread_entry.direct.notice_log import NoticeLog
from fuchsiaspread_entry.internal.log import Level, Log

FLOW = flow_key(Endpoint("100.64.0.7", 40001), Endpoint("198.18.0.1", 443))
DESK, TARGET = ServiceName("desk"), TargetName("i-1")


class NoticeLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, object]] = []
        log = Log(Level.INFO, lambda: 1_000, lambda **fields: self.lines.append(fields))
        ids = {b"packet": "4f-21"}
        self.notices = NoticeLog(log, ids.get)

    def test_line_has_the_request_id(self) -> None:
        """Guards against log lines that cannot be found by a caller's request id."""
        self.notices.write(RequestAnswered(FLOW, DESK, TARGET, 400, True, b"packet"))
        (line,) = self.lines
        self.assertEqual((line["message_type"], line["request"]), ("request_late", "4f-21"))
        self.assertEqual(line["flow"], "100.64.0.7:40001-198.18.0.1:443")

    def test_request_without_an_id_is_logged_as_unknown(self) -> None:
        """Guards against raw packet bytes in a log line."""
        self.notices.write(RequestUnanswered(FLOW, TARGET, 400, RequestEnd.FORGOTTEN, b"part"))
        self.assertEqual(self.lines[0]["request"], "unknown")

    def test_answers_in_time_are_not_logged(self) -> None:
        """Guards against a log line for each request."""
        self.notices.write(RequestAnswered(FLOW, DESK, TARGET, 40, False, b"packet"))
        self.assertEqual(self.lines, [])
