"""Log lines of the direct core's notices."""

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

    def test_line_names_the_request(self) -> None:
        """Guards against lines that a caller's request id does not lead to."""
        self.notices.write(RequestAnswered(FLOW, DESK, TARGET, 400, True, b"packet"))
        (line,) = self.lines
        self.assertEqual((line["message_type"], line["request"]), ("request_late", "4f-21"))
        self.assertEqual(line["flow"], "100.64.0.7:40001-198.18.0.1:443")

    def test_unnamed_request_is_said_to_be_unknown(self) -> None:
        """Guards against packet bytes in a line."""
        self.notices.write(RequestUnanswered(FLOW, TARGET, 400, RequestEnd.FORGOTTEN, b"part"))
        self.assertEqual(self.lines[0]["request"], "unknown")

    def test_answers_in_time_give_no_line(self) -> None:
        """Guards against a line for each request."""
        self.notices.write(RequestAnswered(FLOW, DESK, TARGET, 40, False, b"packet"))
        self.assertEqual(self.lines, [])
