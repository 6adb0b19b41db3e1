"""Tests of a running daemon's reports, log lines and packet path."""

import asyncio
import json
import logging
import unittest
from dataclasses import replace

from dpkt.tcp import TH_ACK, TH_FIN, TH_SYN
from fuchsiaspread_configuration import FabricSettings, Settings
from fuchsiaspread_core.events import CallerData, Event, MembersPublished, PartPublished
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ServiceName, TargetName, ZoneName
from fuchsiaspread_core.members import Member, MemberState
from fuchsiaspread_core.notices import FlowEnd, FlowEnded
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_entry.daemon import Daemon
from fuchsiaspread_entry.internal.counts import CountKey, Counts, Metric
from fuchsiaspread_entry.internal.directory import MAX_MEMBERS, Directory
from fuchsiaspread_entry.internal.flow_text import parse_flow
from fuchsiaspread_entry.internal.log import LINES_BURST, Level, LibraryHandler, Log, format_line
from fuchsiaspread_entry.internal.metrics import MAX_SERIES, Metrics
from fuchsiaspread_entry.internal.notice_log import log_notice
from fuchsiaspread_entry.tasks.admin_task import MAX_CONNECTIONS
from fuchsiaspread_entry.tasks.load_task import decode_load
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from .running import TEST_TIMEOUT_S, running
from .samples import FLOW, OLD_KEY, caller_packet, target_packet
from .test_packet_tasks import open_socket

ANY_PORT = Endpoint("127.0.0.1", 0)
BASE = """
services:
  - name: order-desk
    slots: 3
    connections: 2000
    objective: {{unbroken_share: 0.9999, in_time_share: 0.99, period_days: 30}}
    addresses:
      - {{name: screens, address: "10.20.0.1:7001", kind: stream, open_deadline_ms: 2000}}
    targets:
      - {{name: desk-1, tunnel: "{tunnel}", zone: zone-a, weight: 1, state: active}}
"""


def settings_of(gateway: Endpoint) -> Settings:
    """Return settings with free ports and a platform that does not respond."""
    return Settings(
        name=EntryName("entry-1"),
        site="site-a",
        zone=ZoneName("zone-a"),
        fabric=FabricSettings(ANY_PORT, gateway),
        peer=ANY_PORT,
        control=ANY_PORT,
        admin=ANY_PORT,
        platform=(Endpoint("127.0.0.1", 9),),
        keys=(OLD_KEY,),
    )


def configuration(entry_settings: Settings, tunnel: Endpoint, base: str = BASE) -> list[Event]:
    """Return the events that put a configuration with one target in force."""
    content = base.format(tunnel=f"{tunnel.host}:{tunnel.port}").encode()
    return [
        MembersPublished((entry_settings.member(),)),
        PartPublished(Part(PartName.BASE, 1, content)),
        PartPublished(Part(PartName.OVERLAY, 1, b"services: []")),
    ]


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.gateway, self.target = open_socket(self), open_socket(self)
        entry_settings = settings_of(Endpoint(*self.gateway.getsockname()))
        self.daemon = Daemon(entry_settings, Log(Level.ERROR, lambda: 0))
        tunnel = Endpoint(*self.target.getsockname())
        self.daemon.submit_events(configuration(entry_settings, tunnel))

    async def _get(self, path: str) -> HTTPResponse:
        host, port = self.daemon.addresses.admin
        return await AsyncHTTPClient().fetch(f"http://{host}:{port}{path}", raise_error=False)

    async def _exchange(self) -> None:
        """Open a flow through the daemon and let the target close it."""
        entry = self.daemon.addresses.fabric
        for packet in (caller_packet(TH_SYN, 7, 0), caller_packet(TH_ACK, 8, 101)):
            self.gateway.sendto(packet, entry)
            self.assertEqual(await asyncio.to_thread(self.target.recv, 9000), packet)
            flags = TH_SYN | TH_ACK if packet[33] == TH_SYN else TH_FIN | TH_ACK
            answer = target_packet(flags, 100, 8)
            self.target.sendto(answer, entry)
            self.assertEqual(await asyncio.to_thread(self.gateway.recv, 9000), answer)

    async def test_flow_is_forwarded_and_appears_in_the_reports(self) -> None:
        """Guards against tasks that are not connected, and against empty reports."""
        async with running(self.daemon):
            await self._exchange()
            ready, burn = await self._get("/ready"), await self._get("/burn")
            status = json.loads((await self._get("/status")).body)
            flow = json.loads((await self._get("/explain?flow=10.1.0.1:40000-10.20.0.1:7001")).body)
            target = json.loads((await self._get("/explain?target=desk-1")).body)
        self.assertEqual((ready.code, status["revision"]), (200, {"base": 1, "overlay": 1}))
        self.assertEqual(status["targets"][0]["manager"], "entry-1")
        self.assertIn(status["targets"][0]["state"], ("active", "slow_start"))
        self.assertEqual((flow["service"], flow["manager"]), ("order-desk", "entry-1"))
        self.assertEqual(target["state"], status["targets"][0]["state"])
        [service] = json.loads(burn.body)["services"]
        self.assertEqual([window["opened"] for window in service["windows"]], [1] * 4)

    async def test_invalid_requests_get_a_problem_and_a_next_step(self) -> None:
        """Guards against responses with a traceback or only a status code."""
        paths = ("/explain", "/explain?flow=x", "/explain?flow=%ff", "/no", "/no?x=%00")
        async with running(self.daemon):
            answers = [await self._get(path) for path in paths]
            metrics = await self._get("/metrics")
        for answer in answers:
            self.assertIn(answer.code, (400, 404))
            self.assertEqual(set(json.loads(answer.body)), {"problem", "next_step"})
        self.assertIn(b"fuchsiaspread_flows_open", metrics.body)

    async def test_connections_are_bounded(self) -> None:
        """Guards against idle connections that use up the daemon's file descriptors."""
        async with running(self.daemon):
            opened = [
                await asyncio.open_connection(*self.daemon.addresses.admin)
                for _ in range(MAX_CONNECTIONS + 1)
            ]
            readers = [asyncio.create_task(reader.read()) for reader, _ in opened]
            closed, still_open = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
            self.assertEqual((len(closed), len(still_open)), (1, MAX_CONNECTIONS))
            for _, writer in opened:
                writer.close()
            await asyncio.wait(readers)
            self.assertEqual((await self._get("/health")).code, 200)

    async def test_failing_event_and_report_leave_the_daemon_running(self) -> None:
        """Guards against one packet or question that crashes every entry VM in turn."""
        core = self.daemon._core._core
        handle = core.handle
        faulty = CallerData(FLOW, 1, b"faulty")
        core.handle = lambda now_ms, event: 1 / 0 if event is faulty else handle(now_ms, event)
        core.explain_target = lambda *_: 1 / 0
        self.daemon.submit_events([faulty])
        async with running(self.daemon):
            answer = await self._get("/explain?target=desk-1")
            await self._exchange()
        self.assertEqual(answer.code, 500)
        self.assertIn("event_failed", json.loads(answer.body)["next_step"])

    async def test_stop_request_ends_the_daemon(self) -> None:
        """Guards against a daemon that ignores SIGTERM."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            running_daemon = asyncio.create_task(self.daemon.run())
            await self._exchange()
            self.daemon.stop()
            self.assertTrue(await running_daemon)


class DirectoryTest(unittest.TestCase):
    LOCAL_MEMBER = settings_of(ANY_PORT).member()

    def test_latest_update_of_a_name_wins(self) -> None:
        """Guards against relays to the former address of an entry VM that was replaced."""
        listed = replace(self.LOCAL_MEMBER, name=EntryName("entry-2"))
        moved = replace(listed, peer=Endpoint("127.0.0.2", 1))
        relisted = replace(listed, peer=Endpoint("127.0.0.3", 1))
        directory = Directory((self.LOCAL_MEMBER,))
        self.assertTrue(directory.apply_listed((listed,)))
        self.assertFalse(directory.apply_updates(self.LOCAL_MEMBER.name, (moved,)))
        self.assertTrue(directory.apply_updates(moved.name, (moved,)))
        self.assertFalse(directory.apply_listed((listed,)))
        self.assertEqual(directory.members(), (self.LOCAL_MEMBER, moved))
        self.assertTrue(directory.apply_listed((relisted,)))
        self.assertTrue(
            directory.apply_updates(self.LOCAL_MEMBER.name, (replace(moved, incarnation=1),))
        )
        dead = replace(listed, incarnation=2, state=MemberState.DEAD)
        self.assertFalse(directory.apply_updates(self.LOCAL_MEMBER.name, (dead,)))

    def test_number_of_members_from_gossip_is_bounded(self) -> None:
        """Guards against a faulty peer that fills the memory with names."""
        directory = Directory(())
        names = [Member(EntryName(str(n)), ZoneName("z"), ANY_PORT, ANY_PORT) for n in range(5000)]
        directory.apply_updates(self.LOCAL_MEMBER.name, names)
        self.assertEqual(len(directory.members()), MAX_MEMBERS)


class LogTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.text(max_size=20))
    def test_any_value_stays_on_its_line(self, text: str) -> None:
        """Guards against an untrusted name that forges a log line or a field."""
        line = format_line({"timestamp": 0.0, "message_type": "event", "name": text})
        self.assertEqual(len(line.splitlines()), 1)
        self.assertEqual(line.split(" name=")[0].count("event="), 1)
        value = line.split(" name=", 1)[1]
        self.assertTrue(value.startswith('"') or not set(value) & set(' "='))

    def test_library_messages_become_lines_without_traceback(self) -> None:
        """Guards against multi-line tracebacks of libraries in the daemon's log."""
        written: list[dict[str, object]] = []
        log = Log(Level.INFO, lambda: 0, lambda **fields: written.append(fields))
        error = (ValueError, ValueError("bad frame"), None)
        record = logging.LogRecord("h2", logging.ERROR, "", 1, "lost %s", ("it",), error)
        LibraryHandler(log).handle(record)
        fields = {"library": "h2", "text": "lost it", "cause": "ValueError('bad frame')"}
        self.assertEqual(written, [{"message_type": "library_message", "level": "error"} | fields])

    def test_lines_of_one_event_are_bounded(self) -> None:
        """Guards against a log that grows at packet rate."""
        now_ms, written = [0], []
        log = Log(Level.INFO, lambda: now_ms[0], lambda **fields: written.append(fields))
        for _ in range(LINES_BURST * 5):
            log.write(Level.WARNING, "event")
        log.write(Level.DEBUG, "other")
        self.assertEqual(len(written), LINES_BURST)
        now_ms[0] = 1000
        log.write(Level.WARNING, "event")
        self.assertEqual(written[-1]["suppressed_lines"], LINES_BURST * 4)

    def test_broken_flows_are_named(self) -> None:
        """Guards against a log that does not show which flows broke and why."""
        written: list[dict[str, object]] = []
        log = Log(Level.INFO, lambda: 0, lambda **fields: written.append(fields))
        for end in FlowEnd:
            log_notice(log, FlowEnded(ServiceName("desk"), TargetName("desk-1"), end, True, FLOW))
        self.assertEqual([line["end"] for line in written], ["reset_by_target", "expired"])
        self.assertEqual(parse_flow(str(written[0]["flow"])), FLOW)
        self.assertFalse(set(str(written[0]["flow"])) & set("<>|&;$ "), "unsafe in a shell")


class InputBoundaryTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=50), st.binary(max_size=50))
    def test_arbitrary_input_raises_nothing(self, text: str, body: bytes) -> None:
        """Guards against a request or a load response that crashes a task."""
        for flow_text in (text, f"10.1.0.1:{text}", f"10.1.0.1:1-10.2.0.1:{text}"):
            parse_flow(flow_text)
        decode_load("desk-1", body)

    def test_flow_is_parsed_in_the_form_that_reports_print(self) -> None:
        """Guards against a flow in a report that cannot be pasted into the next request."""
        for text in ("10.1.0.1:40000-10.20.0.1:7001", "10.1.0.1:40000>10.20.0.1:7001"):
            self.assertEqual(parse_flow(text), FLOW)
        self.assertIsNone(parse_flow("10.1.0.1:40000-10.20.0.1:70000"))

    def test_metrics_are_bounded(self) -> None:
        """Guards against memory that grows with the names in counters."""
        metrics = Metrics("entry-1", "zone-a")
        self.addCleanup(metrics.close)
        names = [(("service", str(number)),) for number in range(MAX_SERIES * 2)]
        metrics.add(Counts({CountKey(Metric.FLOWS_OPENED, name): 1 for name in names}))
        series = metrics.text().count(b"fuchsiaspread_flows_opened_total{")
        self.assertEqual(series, MAX_SERIES + 1)
