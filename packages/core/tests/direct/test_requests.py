"""What is reported of requests: late, repeated and unanswered ones."""

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
        self.site.take(flow_packet(1, self.cookie, data_bytes=10))

    def test_late_answer_is_told_with_its_request(self) -> None:
        """Guards against a late answer that no line explains."""
        notices = self.site.notices(flow_packet(1, self.cookie, 11, 900), 400)
        self.assertEqual(
            notices, [RequestAnswered(flow_of(1), DESK, self.target, 400, True, REQUEST)]
        )

    def test_answer_in_time_is_counted_once(self) -> None:
        """Guards against times that count each packet of an answer."""
        (first,) = self.site.notices(flow_packet(1, self.cookie, 11, 900), 30)
        assert isinstance(first, RequestAnswered)
        self.assertEqual((first.took_ms, first.is_late), (30, False))
        self.assertEqual(self.site.notices(flow_packet(1, self.cookie, 11, 1_400), 1), [])

    def test_repetition_tells_how_long_its_target_is_silent(self) -> None:
        """Guards against a repeated request whose target cannot be judged afterwards."""
        notices = self.site.notices(flow_packet(1, self.cookie, data_bytes=10), 200)
        self.assertEqual(notices, [RequestRepeated(flow_of(1), self.target, 200, 200, REQUEST)])

    def test_overtaken_packet_is_no_repetition(self) -> None:
        """Guards against checks of a target whenever packets of an upload change their order."""
        self.site.take(flow_packet(1, self.cookie, 21, data_bytes=10))
        self.assertEqual(self.site.notices(flow_packet(1, self.cookie, 11, data_bytes=10), 1), [])
        self.assertEqual(self.site.checked, [])

    def test_caller_that_gives_up_is_told(self) -> None:
        """Guards against a request that ends without a line."""
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

    def test_request_without_further_packets_is_told(self) -> None:
        """Guards against silence about a caller that the fabric moved or that is cut off."""
        self.site.take(Tick(), 300)
        self.site.now_ms += 2_400
        notices = [n for n in self.site.notices(Tick()) if isinstance(n, RequestUnanswered)]
        self.assertEqual([one.end for one in notices], [RequestEnd.FORGOTTEN])


if __name__ == "__main__":
    unittest.main()
