"""Tests of the commands that query entry VMs and the platform."""

import asyncio
import base64
import json
import tempfile
import unittest
from dataclasses import asdict
from pathlib import Path
from typing import Any

from fuchsiaspread_core.configuration import (
    Configuration,
    Objective,
    Revision,
    Service,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import Endpoint, ServiceName, TargetName, ZoneName
from fuchsiaspread_core.notices import FlowEnd, FlowEnded, FlowOpened
from fuchsiaspread_core.objectives import ObjectiveCounters
from fuchsiaspread_operator.internal.decide.explanation import FlowSubject, explain_flow
from fuchsiaspread_operator.internal.decide.responses import FlowResponse, RecordModel

from .fixtures import EXAMPLES, Respond, burn, json_responder, run, start_server, status, window

ACTIVE = TargetState.ACTIVE
REFUSED = {
    "revision": {"base": 5, "overlay": 7},
    "faults": [{"file": "base", "key": "services.x", "problem": "bad", "remedy": "fix it"}],
}
FLOW = "10.30.0.5:40000-10.20.0.1:7001"


class ServedTestCase(unittest.IsolatedAsyncioTestCase):
    def start(self, respond: Respond) -> str:
        """Start an HTTP server that is stopped after the test."""
        server, address = start_server(respond)
        self.addAsyncCleanup(server.close_all_connections)
        self.addCleanup(server.stop)
        return address

    def fleet(self, path: str, *bodies: Any) -> str:
        """Start a server for each body, as an entry VM, and return the `--entries` option."""
        return "--entries " + ",".join(self.start(json_responder({path: body})) for body in bodies)

    async def run_command(self, command: str, arguments: str) -> tuple[int, str, str]:
        """Run a command in a thread, because it starts its own event loop."""
        code, output, error = await asyncio.to_thread(run, command, arguments)
        self.assertNotIn("Traceback", output + error)
        return code, output, error

    async def run_json(self, command: str, arguments: str) -> tuple[int, dict[str, Any]]:
        """Run a command with JSON output, and return its exit code and the parsed output."""
        code, output, error = await self.run_command(command, f"{arguments} --format json")
        self.assertTrue(output, error)
        return code, json.loads(output)


class FleetCommandsTest(ServedTestCase):
    async def test_status_of_a_healthy_fleet(self) -> None:
        """Guards against findings for a healthy fleet."""
        entries = self.fleet("/status", status("entry-1"), status("entry-2", "zone-b"))
        code, output, _ = await self.run_command("status", entries)
        self.assertEqual(code, 0, output)
        self.assertIn("nothing needs attention", output)
        self.assertIn("1.08 min", output)

    async def test_status_reports_problems(self) -> None:
        """Guards against a documented kind of failure that the report does not show."""
        ejected = status("x")["targets"][0] | {"state": "ejected", "reason": "fast resets"}
        dead = {"name": "entry-1", "zone": "zone-a", "state": "dead", "revision": None}
        absent = dead | {"name": "entry-9"}
        older = {"base": 3, "overlay": 7}
        entries = self.fleet(
            "/status",
            status("entry-1", refused=REFUSED, is_stale=True),
            status("entry-2", "zone-b", revision=older, peers=[dead, absent], targets=[ejected]),
            status("entry-3", revision=None, platform={"reachable": False, "since_ms_ago": 9}),
            status(
                "entry-4",
                targets=[
                    ejected | {"manager": "entry-4"},
                    ejected | {"name": "b", "manager": None},
                ],
            ),
        )
        code, report = await self.run_json("status", entries)
        self.assertEqual(code, 1)
        found = {f"{item['subject']}: {item['problem']}" for item in report["findings"]}
        for words in (
            "entry-1: refused revision 5.7: base: services.x: bad; fix it",
            "entry-1: its view is stale",
            "entry-2: has revision 3.7 in force; the newest is 4.7",
            "entry-1: is reported as dead by entry-2, but it responded",
            "entry-9: is reported as dead by entry-2 (zone zone-a)",
            "entry-3: has no configuration in force",
            "entry-3: cannot reach the platform",
            "desk-1: is managed by entry-1 and entry-4 at the same time",
            "b: gets no new work from order-desk (ejected: fast resets)",
            "b: has no manager",
        ):
            self.assertTrue(any(item.startswith(words) for item in found), (words, found))

    async def test_missing_responses_do_not_stop_the_report(self) -> None:
        """Guards against a report that fails because of one dead or broken entry VM."""
        healthy = self.start(json_responder({"/status": status("entry-1")}))
        broken = [
            self.start(lambda uri: None),
            self.start(lambda uri: (503, b'{"error": "starting"}')),
            self.start(lambda uri: (200, b"[" * 100_000)),
            self.start(lambda uri: (200, b'{"name": 3}')),
            self.start(lambda uri: (200, b"\xff")),
            "127.0.0.1:1",
        ]
        entries = ",".join([healthy, *broken])
        code, report = await self.run_json("status", f"--entries {entries}")
        self.assertEqual(code, 3)
        self.assertEqual([row["name"] for row in report["entries"]], ["entry-1"])
        reasons = {item["entry"]: item["reason"] for item in report["missing"]}
        self.assertEqual(set(reasons), set(broken))
        self.assertEqual(reasons[broken[1]], "HTTP status 503: starting")
        self.assertEqual(reasons["127.0.0.1:1"], "connection refused")
        code, _, _ = await self.run_command("status", f"--entries {broken[0]}")
        self.assertEqual(code, 4)

    async def test_missing_response_times_out(self) -> None:
        """Guards against a report that waits forever for a paused entry VM."""
        release = asyncio.Event()

        async def wait(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.close()

        server = await asyncio.start_server(wait, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        arguments = f"--entries 127.0.0.1:{port} --timeout 0.05"
        code, report = await self.run_json("burn", arguments)
        release.set()
        server.close()
        self.assertEqual((code, report["missing"][0]["reason"]), (4, "no response within 0.05 s"))

    async def test_explain_flow_prefers_the_record(self) -> None:
        """Guards against showing the computed route although an entry VM has the flow's record."""
        route = {"flow": FLOW, "service": "order-desk", "home_shard": "order-desk/zone-a"}
        route |= {"manager": "entry-1", "backup": "entry-2", "record": None, "reason": "no record"}
        record = {"target": "desk-1", "phase": "accepted"}
        other = route | {"manager": "entry-3"}
        held = route | {"record": record, "reason": "accepted by desk-1"}
        code, report = await self.run_json(
            "explain", f"{FLOW} {self.fleet('/explain', other, held)}"
        )
        self.assertEqual(code, 0)
        self.assertEqual((report["target"], report["phase"]), ("desk-1", "accepted"))
        self.assertEqual(len(report["holders"]), 1)
        self.assertIn("manager: entry VMs report entry-1 and entry-3", report["disagreements"])
        ended = route | {"record": record | {"phase": "closed"}}
        _, output, _ = await self.run_command("explain", f"{FLOW} {self.fleet('/explain', ended)}")
        self.assertIn("look for event=flow_broken in the log of entry-1", output)
        code, output, _ = await self.run_command(
            "explain", f"{FLOW} {self.fleet('/explain', route)}"
        )
        self.assertEqual(code, 0)
        self.assertIn("if it is open, its next packet restores the record", output)

    def test_record_of_the_manager_takes_precedence(self) -> None:
        """Guards against showing the phase of a replica, which can lag behind the manager's."""
        phases = {"entry-1": "accepted", "entry-3": "established"}
        responses = {
            name: FlowResponse(
                flow=FLOW, manager="entry-3", record=RecordModel(target="desk-1", phase=phase)
            )
            for name, phase in phases.items()
        }
        self.assertEqual(explain_flow(FlowSubject(FLOW), responses, ()).phase, "established")

    async def test_explain_target_and_unknown_names(self) -> None:
        """Guards against reporting a mistyped target name as a healthy target."""
        known = {"target": "desk-1", "service": "order-desk", "zone": "zone-a", "state": "ejected"}
        known |= {"manager": "entry-1", "reason": "no answer", "next_step": "check the host"}
        code, output, _ = await self.run_command(
            "explain", f"desk-1 {self.fleet('/explain', known)}"
        )
        self.assertEqual(code, 0)
        self.assertIn("check the host", output)
        unknown = {"target": "desk-x", "service": None, "state": None, "reason": "unknown"}
        code, output, _ = await self.run_command(
            "explain", f"desk-x {self.fleet('/explain', unknown)}"
        )
        self.assertEqual(code, 1)
        self.assertIn("check the name", output)

    async def test_burn_sums_the_fleet(self) -> None:
        """Guards against a budget that is computed from only one entry VM's counters."""
        spans = (300, 3_600, 21_600, 30 * 86_400)
        bad = {"broken": 30, "answered": 970, "in_time": 970}
        counts = {"opened": 500, "broken": 30}
        shares = {
            "by_target": {"desk-1": counts, "desk-2": {"opened": 500}},
            "by_zone": {"zone-a": counts},
        }
        first = burn("entry-1", [window(span, **bad, **shares) for span in spans])
        second = burn("entry-2", [window(span) for span in spans], started_ms_ago=600_000)
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "burn.html"
            entries = f"{self.fleet('/burn', first, second)},127.0.0.1:1"
            code, report = await self.run_json("burn", f"{entries} --html {page}")
            self.assertIn("order-desk, unbroken", page.read_text())
            code_of_bad_page, _, error = await self.run_command(
                "burn", f"{entries} --html {folder}"
            )
        self.assertEqual((code, code_of_bad_page), (3, 2))
        self.assertIn("cannot be written", error)
        unbroken, in_time = report["budgets"]
        self.assertEqual((unbroken["alert"], in_time["alert"]), ("fast", "none"))
        last = unbroken["windows"][-1]
        self.assertEqual((last["bad"], last["total"]), (30, 2000))
        self.assertAlmostEqual(last["burn_rate"], 15.0)
        self.assertAlmostEqual(last["budget_gone"], 15.0)
        self.assertAlmostEqual(unbroken["windows"][1]["budget_gone"], 15 / 720)
        self.assertEqual(
            (unbroken["zone"]["name"], unbroken["target"]["name"]), ("zone-a", "desk-1")
        )
        histories = {item["entry"]: item["window_s"] for item in report["missing_history"]}
        self.assertEqual(histories, {"127.0.0.1:1": 300, "entry-2": 3_600})
        self.assertNotIn("entry-1", histories)

    async def test_burn_reads_what_the_core_counts(self) -> None:
        """Guards against a mismatch between the core's counters and the command's model of them."""
        target = Target(
            TargetName("desk-1"), Endpoint("127.0.0.1", 1), ZoneName("a"), 1, ACTIVE, 3, 9
        )
        service = Service(ServiceName("order-desk"), (), (target,), Objective(0.999, 0.99, 86_400))
        counters = ObjectiveCounters(0)
        counters.configure(Configuration("occidente", Revision(1, 1), (service,)))
        counters.record(5, FlowOpened(service.name, target.name, 0))
        counters.record(6, FlowEnded(service.name, target.name, FlowEnd.RESET_BY_TARGET, False))
        body = {"name": "entry-1", **asdict(counters.snapshot(1_000))}
        code, report = await self.run_json("burn", self.fleet("/burn", body))
        unbroken = report["budgets"][0]
        self.assertEqual(
            (code, unbroken["target"]["name"], unbroken["zone"]["bad"]), (1, "desk-1", 1)
        )
        self.assertEqual([w["window_s"] for w in unbroken["windows"]], [300, 3_600, 21_600, 86_400])

    async def test_slow_burn_and_invalid_counts(self) -> None:
        """Guards against a slow burn without an alert, and against accepting negative counts."""
        spans = (300, 3_600, 21_600, 30 * 86_400)
        slow = [window(span, in_time=930, refused=0) for span in spans]
        code, report = await self.run_json("burn", self.fleet("/burn", burn("entry-1", slow)))
        self.assertEqual((code, report["budgets"][1]["alert"]), (1, "slow"))
        wrong = burn("entry-1", [window(300, opened=-1)])
        code, _, _ = await self.run_command("burn", self.fleet("/burn", wrong))
        self.assertEqual(code, 4)


class PlatformTest(ServedTestCase):
    def platform(self, values: dict[str, bytes]) -> str:
        """Start a platform with the given values, and return its address."""
        entries = {
            f"/v1/kv/fuchsiaspread/{key}": [
                {"Key": key, "Value": base64.b64encode(value).decode(), "ModifyIndex": 9}
            ]
            for key, value in values.items()
        }
        return self.start(json_responder(entries))

    def published(self) -> dict[str, bytes]:
        """Return the example files under the keys where they are published."""
        folder = EXAMPLES / "empresa"
        return {
            "base": (folder / "base.yaml").read_bytes(),
            "sites/occidente": (folder / "sites" / "occidente.yaml").read_bytes(),
        }

    async def test_check_and_show_against_the_platform(self) -> None:
        """Guards against a comparison that does not use the published values."""
        values = self.published()
        address = self.platform(values)
        code, output, _ = await self.run_command(
            "check", f"{EXAMPLES}/empresa --platform {address}"
        )
        self.assertEqual((code, "no change" in output), (0, True), output)
        changed = values | {
            "base": values["base"].replace(b"deadline_ms: 20000", b"deadline_ms: 9")
        }
        address = self.platform(changed)
        code, report = await self.run_json("check", f"{EXAMPLES}/empresa --platform {address}")
        self.assertEqual(report["comparison"]["changes"][0]["before"], "request, 9 ms, repeatable")
        code, output, _ = await self.run_command("show", f"--platform {address} --site occidente")
        self.assertIn("scans.deadline_ms", output)

    async def test_platform_that_is_down_empty_or_wrong(self) -> None:
        """Guards against a traceback if the platform is down or returns an invalid response."""
        show = "--site occidente --platform"
        code, _, error = await self.run_command("show", f"{show} 127.0.0.1:1")
        self.assertEqual((code, "connection refused" in error), (4, True))
        code, _, error = await self.run_command("show", f"{show} {self.platform({})}")
        self.assertEqual((code, "publish the file first" in error), (1, True))
        for body in (b"[]", b"{", b'[{"Value": "%%", "ModifyIndex": 1}]', b"[" * 100_000):
            address = self.start(lambda uri, body=body: (200, body))
            code, _, error = await self.run_command("show", f"{show} {address}")
            self.assertEqual((code, "unexpected form" in error), (1, True), error)
        new_site = {"base": self.published()["base"]}
        address = self.platform(new_site)
        code, report = await self.run_json("check", f"{EXAMPLES}/empresa --platform {address}")
        self.assertEqual(report["comparison"]["changes"][0]["after"], "present")

    async def test_members_from_platform_and_file(self) -> None:
        """Guards against queries to other addresses than those in the members list."""
        entry = self.start(json_responder({"/status": status("entry-1")}))
        member = {"name": "entry-1", "zone": "zone-a", "peer": "127.0.0.1:1"}
        listed = json.dumps([member | {"control": "127.0.0.1:2", "admin": entry}]).encode()
        address = self.platform({"members/occidente": listed})
        code, _, _ = await self.run_command("status", f"--platform {address} --site occidente")
        self.assertEqual(code, 0)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "members.json"
            for content, expected in ((listed, 0), (b"[]", 1), (b"{", 1), (b"[1]", 1)):
                file.write_bytes(content)
                code, _, error = await self.run_command("status", f"--members {file}")
                self.assertEqual(code, expected, error)
        code, _, error = await self.run_command("status", "--members /nowhere/members.json")
        self.assertEqual((code, "no such file" in error), (1, True))


if __name__ == "__main__":
    unittest.main()
