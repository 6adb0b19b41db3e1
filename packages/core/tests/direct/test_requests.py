"""Notices about late, retransmitted and unanswered requests."""

import unittest

from fuchsiaspread_core.direct import Tick
from fuchsiaspread_core.direct.notices import (
    RequestAnswered,
    RequestEnd,
    RequestRepeated,
    RequestUnanswered,
)
from fuchsiaspread_core.identifiers import TargetName

from .site import DESK, Site, flow_of, flow_packet

REQUEST = b"data 1"


class RequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        placed = self.site.open(1)
        self.target, self.cookie = TargetName(placed.target), placed.cookie
        self.site.answer(1, self.cookie)
        self.site.handle(flow_packet(1, self.cookie, data_bytes=10))

    def test_late_answer_is_reported_with_its_request(self) -> None:
        """Guards against a late answer that appears in no log line."""
        notices = self.site.notices(flow_packet(1, self.cookie, 11, 900), 400)
        self.assertEqual(
            notices, [RequestAnswered(flow_of(1), DESK, self.target, 400, True, REQUEST)]
        )

    def test_answer_in_time_is_reported_once(self) -> None:
        """Guards against latency figures that count each packet of an answer."""
        (first,) = self.site.notices(flow_packet(1, self.cookie, 11, 900), 30)
        assert isinstance(first, RequestAnswered)
        self.assertEqual((first.took_ms, first.is_late), (30, False))
        self.assertEqual(self.site.notices(flow_packet(1, self.cookie, 11, 1_400), 1), [])

    def test_retransmission_is_reported_with_the_silence_of_its_target(self) -> None:
        """Guards against a log line that does not show whether the target answered others."""
        notices = self.site.notices(flow_packet(1, self.cookie, data_bytes=10), 200)
        self.assertEqual(notices, [RequestRepeated(flow_of(1), self.target, 200, 200, REQUEST)])

    def test_reordered_packet_is_no_retransmission(self) -> None:
        """Guards against checking a target whenever packets of an upload are reordered."""
        self.site.handle(flow_packet(1, self.cookie, 21, data_bytes=10))
        self.assertEqual(self.site.notices(flow_packet(1, self.cookie, 11, data_bytes=10), 1), [])
        self.assertEqual(self.site.checked, [])

    def test_unanswered_request_is_reported_when_the_caller_gives_up(self) -> None:
        """Guards against an unanswered request that appears in no log line."""
        for event, end in (
            (flow_packet(1, self.cookie, 11, is_reset=True), RequestEnd.CALLER_RESET),
            (flow_packet(1, self.cookie, 11, is_last=True), RequestEnd.CALLER_CLOSED),
        ):
            with self.subTest(end=end):
                self.setUp()
                notices = self.site.notices(event, 450)
                self.assertEqual(
                    notices,
                    [RequestUnanswered(flow_of(1), self.target, 450, end, REQUEST)],
                )

    def test_request_without_further_packets_is_reported(self) -> None:
        """Guards against unreported requests of callers that were moved or cut off."""
        self.site.handle(Tick(), 300)
        self.site.now_ms += 2_400
        notices = [n for n in self.site.notices(Tick()) if isinstance(n, RequestUnanswered)]
        self.assertEqual([one.end for one in notices], [RequestEnd.FORGOTTEN])


if __name__ == "__main__":
    unittest.main()
