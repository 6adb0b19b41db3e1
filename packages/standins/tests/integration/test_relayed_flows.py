"""Callers, fabric and targets with a relay in place of the entry VMs, and the platform."""

import asyncio
import base64
import json
import unittest

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.caller import (
    CallerTask,
    EndStreams,
    FlowCounts,
    StartRequest,
    StartStream,
)
from fuchsiaspread_standins.fabric import Fabric, SetEntries
from fuchsiaspread_standins.internal.datagrams import Datagrams, DatagramTask
from fuchsiaspread_standins.internal.serving import TargetServer
from fuchsiaspread_standins.platform import Down, Healthy, Platform, Stale
from fuchsiaspread_standins.target import TargetTask
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

SERVICE = Endpoint("10.20.0.1", 7001)
LIMIT_S = 10.0


class Relay(DatagramTask):
    """Forwards packets to a target selected by the caller's port, and replies to the fabric."""

    def __init__(self, listen, gateway):
        super().__init__(listen)
        self.gateway = gateway
        self.targets = []

    def handle(self, message):
        match message:
            case Datagrams(batch):
                for payload, source in batch:
                    is_reply = source.host in {target.host for target in self.targets}
                    port = int.from_bytes(payload[20:22], "big")
                    target = self.targets[port % len(self.targets)]
                    self.send(payload, self.gateway if is_reply else target)


class RelayedFlows(unittest.IsolatedAsyncioTestCase):
    """Guards against stand-ins that lose or corrupt flows without any fault."""

    async def asyncSetUp(self):
        self.fabric = Fabric(Endpoint("127.0.0.10", 0), frozenset({"127.0.1.1"}), seed=1)
        gateway = self.fabric.endpoint
        self.relay = Relay(Endpoint("127.0.1.1", 0), gateway)
        self.targets = []
        for number in range(1, 4):
            server = TargetServer(f"target-{number}", frozenset({SERVICE}), 3, seed=number)
            tunnel = Endpoint(f"127.0.2.{number}", 0)
            self.targets.append(TargetTask(tunnel, gateway, server, None))
        self.relay.targets = [target.endpoint for target in self.targets]
        self.callers = CallerTask(Endpoint("127.0.0.20", 0), gateway, "caller", seed=2)
        self.fabric.mailbox.put_nowait(SetEntries((self.relay.endpoint,)))
        tasks = [self.fabric, self.relay, self.callers, *self.targets]
        self.tasks = [asyncio.create_task(task.run()) for task in tasks]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def test_requests_are_answered_once_and_completely(self):
        for _ in range(60):
            self.callers.mailbox.put_nowait(
                StartRequest(SERVICE, 5, 9000, body_bytes=5000, answer_bytes=9000)
            )
        self.assertTrue(await self.callers.wait_for(FlowCounts(ended_requests=60), LIMIT_S))
        report = await self.callers.get_report()
        self.assertEqual({"Answered": 60}, dict(report.outcomes()))
        executed = [await target.get_report() for target in self.targets]
        self.assertEqual([1] * 60, [n for report in executed for n in report.executed.values()])

    async def test_streams_stay_until_they_are_ended(self):
        for _ in range(300):
            self.callers.mailbox.put_nowait(StartStream(SERVICE, 20, 9000))
        self.assertTrue(await self.callers.wait_for(FlowCounts(opened_streams=300), LIMIT_S))
        self.callers.mailbox.put_nowait(EndStreams())
        self.assertTrue(await self.callers.wait_for(FlowCounts(ended_streams=300), LIMIT_S))
        report = await self.callers.get_report()
        self.assertEqual({"Answered": 300}, dict(report.outcomes()))
        self.assertGreaterEqual(report.answered_messages, 300)


class PlatformReads(unittest.IsolatedAsyncioTestCase):
    """Guards against a platform stand-in that differs from Consul's documented key-value API."""

    async def asyncSetUp(self):
        self.platform = Platform(Endpoint("127.0.0.1", 0))
        self.client = AsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self):
        self.client.close()
        await self.platform.stop()

    async def read(self, key, query=""):
        host, port = self.platform.endpoint
        return await self.client.fetch(f"http://{host}:{port}/v1/kv/{key}{query}")

    async def test_a_value_is_read_with_its_index(self):
        index = self.platform.publish("fuchsiaspread/base", b"services: []")
        answer = await self.read("fuchsiaspread/base")
        (body,) = json.loads(answer.body)
        self.assertEqual(b"services: []", base64.b64decode(body["Value"]))
        self.assertEqual(index, body["ModifyIndex"])
        self.assertEqual(str(index), answer.headers["X-Consul-Index"])

    async def test_an_absent_key_is_not_found(self):
        with self.assertRaises(HTTPClientError) as caught:
            await self.read("fuchsiaspread/none")
        self.assertEqual(404, caught.exception.code)

    async def test_a_watch_answers_on_a_change_and_counts_one_call(self):
        index = self.platform.publish("key", b"1")
        watch = asyncio.ensure_future(self.read("key", f"?index={index}&wait=10s"))
        await asyncio.wait_for(self.platform.called.wait(), LIMIT_S)
        self.platform.publish("other", b"x")
        changed = self.platform.publish("key", b"2")
        answer = await watch
        self.assertEqual(changed, json.loads(answer.body)[0]["ModifyIndex"])
        self.assertEqual(1, self.platform.call_count)

    async def test_a_stale_service_hides_changes_until_it_is_healthy(self):
        self.platform.publish("key", b"1")
        await self.platform.set_condition(Stale())
        self.platform.publish("key", b"2")
        stale = json.loads((await self.read("key")).body)[0]["Value"]
        await self.platform.set_condition(Healthy())
        fresh = json.loads((await self.read("key")).body)[0]["Value"]
        self.assertEqual([b"1", b"2"], [base64.b64decode(value) for value in (stale, fresh)])

    async def test_a_service_that_is_down_accepts_no_connection(self):
        self.platform.publish("key", b"1")
        await self.platform.set_condition(Down())
        with self.assertRaises(OSError):
            await self.read("key")
        await self.platform.set_condition(Healthy())
        self.assertEqual(200, (await self.read("key")).code)
