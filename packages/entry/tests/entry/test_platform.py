"""Tests of the watches of the platform's keys."""

import asyncio
import base64
import json
import unittest
from random import Random

from fuchsiaspread_core.events import MembersPublished, PartPublished
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_entry.internal.consul import (
    BadAnswer,
    Missing,
    Published,
    decode_answer,
    next_watch_index,
)
from fuchsiaspread_entry.internal.log import Level, Log
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.shared_backoff import SharedBackoff
from fuchsiaspread_entry.internal.task_messages import PlatformReached, RefreshAsked
from fuchsiaspread_entry.tasks.platform_task import PlatformTask
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from .running import next_events, running

BASE_KEY = "fuchsiaspread/base"
MEMBER = {"name": "entry-1", "zone": "zone-a", "state": "live"}
MEMBER |= {key: f"127.0.0.1:{port}" for port, key in enumerate(("peer", "control", "admin"), 1)}


def pairs(content: bytes, index: int) -> bytes:
    """Return a response body with one key-value pair."""
    value = base64.b64encode(content).decode()
    return json.dumps([{"Key": "k", "Value": value, "ModifyIndex": index, "Flags": 0}]).encode()


class AnswerTest(unittest.TestCase):
    def test_answers_follow_the_published_api(self) -> None:
        """Guards against a part that gets the index of another change."""
        self.assertEqual(decode_answer(200, "9", pairs(b"x", 5)), Published(b"x", 5, 9))
        self.assertEqual(decode_answer(404, "9", b""), Missing(9))
        for status, index, body in ((500, "9", b""), (200, "", b"[]"), (200, "9", b"[]")):
            self.assertIsInstance(decode_answer(status, index, body), BadAnswer)

    def test_index_that_goes_backwards_is_reset(self) -> None:
        """Guards against a watch that waits for an index that a rebuilt platform does not reach."""
        self.assertEqual([next_watch_index(5, answered) for answered in (7, 5, 4, 0)], [7, 5, 0, 0])

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=60), st.text(max_size=8), st.data())
    def test_arbitrary_answers_raise_nothing(
        self, noise: bytes, index: str, data: st.DataObject
    ) -> None:
        """Guards against a response that crashes the daemon."""
        mutated = bytearray(pairs(b"services: []", 5))
        mutated[data.draw(st.integers(0, len(mutated) - 1))] = data.draw(st.integers(0, 255))
        for body in (noise, bytes(mutated)):
            decode_answer(200, "9", body)
            decode_answer(200, index, body)


class _KeyHandler(RequestHandler):
    def initialize(self, bodies: dict[str, bytes], requested_uris: list[str]) -> None:
        self.bodies, self.requested_uris = bodies, requested_uris

    def get(self, key: str) -> None:
        self.requested_uris.append(self.request.uri or "")
        if key not in self.bodies:
            self.send_error(500)
            return
        self.set_header("X-Consul-Index", "5")
        self.finish(self.bodies[key])

    def log_exception(self, *_: object) -> None:
        """Suppress the log output of expected errors."""


class PlatformTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies = {
            BASE_KEY: pairs(b"services: []", 5),
            "fuchsiaspread/members/occidente": pairs(json.dumps([MEMBER]).encode(), 4),
        }
        self.requested_uris: list[str] = []
        handler = (
            "/v1/kv/(.*)",
            _KeyHandler,
            {"bodies": self.bodies, "requested_uris": self.requested_uris},
        )
        server = HTTPServer(Application([handler], log_function=lambda _: None))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addAsyncCleanup(server.close_all_connections)
        self.addCleanup(server.stop)
        self.mailboxes = Mailboxes()
        unreachable = Endpoint("127.0.0.1", 9)
        platform = (unreachable, Endpoint(*sockets[0].getsockname()))
        log = Log(Level.ERROR, lambda: 0)
        self.task = PlatformTask("occidente", platform, 1, self.mailboxes, log)

    async def test_values_reach_the_core_although_one_address_is_dead(self) -> None:
        """Guards against a watch that retries only an unreachable platform address."""
        async with running(self.task):
            events = await next_events(self.mailboxes, 2)
        parts = [event for event in events if isinstance(event, PartPublished)]
        lists = [event for event in events if isinstance(event, MembersPublished)]
        self.assertEqual(parts, [PartPublished(Part(PartName.BASE, 5, b"services: []"))])
        self.assertEqual([member.name for member in lists[0].members], ["entry-1"])
        self.assertIn(PlatformReached(True), await self.mailboxes.admin.take())

    async def test_refresh_reads_without_waiting_for_a_change(self) -> None:
        """Guards against opens that are held back after a pause although the platform responds.

        A pending watch returns only on a change, so it does not prove that the view is fresh.
        """
        async with running(self.task):
            await next_events(self.mailboxes, 2)
            events: list[object] = []
            while PartPublished(Part(PartName.BASE, 5, b"services: []")) not in events:
                self.mailboxes.platform.put(RefreshAsked())
                events = list(await next_events(self.mailboxes, 1))
        waiting = [uri for uri in self.requested_uris if "index=" in uri]
        self.assertTrue(all(uri.endswith("index=5&wait=60s") for uri in waiting))


class SharedBackoffTest(unittest.IsolatedAsyncioTestCase):
    async def test_waiting_watches_retry_after_one_success(self) -> None:
        """Guards against every watch of every entry VM retrying while the platform is down."""
        backoff = SharedBackoff(Random(1))
        await backoff.wait("base")
        waiting = asyncio.create_task(backoff.wait("members"))
        await backoff.wait("base")
        self.assertFalse(waiting.done())
        backoff.record_success("base")
        await waiting

    async def test_backoff_grows_with_the_site(self) -> None:
        """Guards against a large site that overloads a platform that has just recovered."""
        pauses: list[float] = []

        async def record_pause(pause_s: float) -> None:
            pauses.append(pause_s)

        for count, limit_s in ((1, 1.0), (40, 10.0), (4000, 60.0)):
            backoff = SharedBackoff(Random(1), record_pause)
            backoff.set_site_size(count)
            for _ in range(200):
                await backoff.wait("base")
            self.assertLess(max(pauses), limit_s)
            self.assertGreater(max(pauses), limit_s * 0.9)
