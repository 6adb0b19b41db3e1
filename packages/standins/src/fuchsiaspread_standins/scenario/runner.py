"""Run the steps of a scenario on real processes and collect the failures."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import assert_never

from ..caller import EndStreams, FlowCounts, StartRequest, StartStream
from ..fleet import Fleet
from ..internal.faults import LinkRule
from ..internal.publishing import Drain
from ..target import LoadBody, OverrideLoad, SetBehaviour
from . import steps
from .expectations import (
    Failed,
    check_answers,
    check_broken_requests,
    check_quiet,
    check_refusals,
    check_streams,
    invariant_violations,
)

# The design requires a new configuration to be in force at every entry VM within 8 s.
REVISION_LIMIT_S = 8.0
STATUS_INTERVAL_S = 0.05
STREAM_LIMIT_S = 15.0
REQUEST_TIMEOUT_MS = 6000
STREAM_TIMEOUT_MS = 8000
REQUEST_LIMIT_S = 10.0
# Requests are started in groups because a timer for each one costs more than the request.
GROUP_INTERVAL_S = 0.02
OPENS_PER_GROUP = 20


@dataclass(frozen=True, slots=True)
class ScenarioFailure:
    """Report a failed step of a scenario; line 0 stands for a failure outside of the steps."""

    line: int
    text: str
    problem: str


class Runner:
    """Execute steps on a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.stream_count = 0
        self.request_count = 0
        self._loads: set[asyncio.Task[None]] = set()

    async def run(self, step: steps.Step) -> Failed | None:
        """Execute one step and return its failure, if any."""
        match step:
            case steps.LoadStreams() | steps.LoadRequests():
                self._load(step)
            case steps.ChangeFiles(change):
                self.fleet.publish(change)
                if isinstance(change, Drain):
                    self.fleet.record_drain(change.target)
            case (
                steps.KillEntry()
                | steps.StopEntry()
                | steps.StartEntry()
                | steps.FreezeEntry()
                | steps.ThawEntry()
            ):
                return await self._inject_entry_fault(step)
            case (
                steps.IsolateZone()
                | steps.HidePlatform()
                | steps.AddLinkFault()
                | steps.HealLinks()
                | steps.SetPlatformCondition()
                | steps.SetTargetBehaviour()
                | steps.ClaimLoad()
            ):
                await self._inject_environment_fault(step)
            case (
                steps.WaitTime() | steps.WaitStreams() | steps.WaitRequests() | steps.WaitRevision()
            ):
                return await self._wait(step)
            case _:
                return await self._expect(step)
        return None

    async def finish(self) -> list[Failed]:
        """Wait for all requests, then return unexpected process exits and invariant violations."""
        await self._wait(steps.WaitRequests())
        ended = [
            Failed(f"{name} exited unexpectedly:\n{self.fleet.processes[name].output()}")
            for name in self.fleet.unexpectedly_ended()
        ]
        return ended + invariant_violations(await self.fleet.report())

    def close(self) -> None:
        """Cancel the loads that are still running."""
        for load in self._loads:
            load.cancel()

    def _load(self, step: steps.Load) -> None:
        match step:
            case steps.LoadStreams(count, address, interval_ms):
                self.stream_count += count
                stream = StartStream(self.fleet.address(address), interval_ms, STREAM_TIMEOUT_MS)
                over_s = count / OPENS_PER_GROUP * GROUP_INTERVAL_S
                self._start(self._send_load(stream, count, over_s))
            case steps.LoadRequests(count, address, work_ms, over_ms):
                self.request_count += count
                endpoint = self.fleet.address(address)
                request = StartRequest(endpoint, work_ms, REQUEST_TIMEOUT_MS)
                self._start(self._send_load(request, count, over_ms / 1000))
            case _:
                assert_never(step)

    def _start(self, load: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(load)
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)

    async def _send_load(
        self, command: StartRequest | StartStream, count: int, over_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        sent = 0
        while sent < count:
            share = (loop.time() - start_s + GROUP_INTERVAL_S) / max(over_s, GROUP_INTERVAL_S)
            for _ in range(min(count, int(share * count) + 1) - sent):
                self.fleet.callers.mailbox.put_nowait(command)
                sent += 1
            await asyncio.sleep(GROUP_INTERVAL_S)

    async def _inject_entry_fault(self, step: steps.EntryFault) -> Failed | None:
        match step:
            case steps.KillEntry(entry):
                await self.fleet.kill_entry(entry)
            case steps.StopEntry(entry):
                status = await self.fleet.stop_entry(entry)
                if status != 0:
                    output = self.fleet.processes[entry].output()
                    return Failed(f"{entry} exited with status {status}:\n{output}")
            case steps.StartEntry(entry):
                not_ready = await self.fleet.start_entry(entry)
                if not_ready is not None:
                    return Failed(f"{entry} is not ready:\n{not_ready.output}")
            case steps.FreezeEntry(entry):
                self.fleet.freeze_entry(entry)
            case steps.ThawEntry(entry):
                self.fleet.thaw_entry(entry)
            case _:
                assert_never(step)
        return None

    async def _inject_environment_fault(self, step: steps.EnvironmentFault) -> None:
        match step:
            case steps.IsolateZone(zone):
                await self.fleet.isolate_zone(zone)
            case steps.HidePlatform(entry):
                await self.fleet.hide_platform(entry)
            case steps.AddLinkFault(fault):
                await self.fleet.add_rule(LinkRule(frozenset(), frozenset(), fault))
            case steps.HealLinks():
                await self.fleet.set_rules(())
            case steps.SetPlatformCondition(condition):
                await self.fleet.platform.set_condition(condition)
            case steps.SetTargetBehaviour(target, behaviour):
                self.fleet.targets[target].mailbox.put_nowait(SetBehaviour(behaviour))
            case steps.ClaimLoad(target, busy_slots):
                body = LoadBody(busy_slots=busy_slots, connections=0, is_shedding=False)
                self.fleet.targets[target].mailbox.put_nowait(OverrideLoad(body))
            case _:
                assert_never(step)

    async def _wait(self, step: steps.Wait) -> Failed | None:
        match step:
            case steps.WaitTime(duration_ms):
                await asyncio.sleep(duration_ms / 1000)
            case steps.WaitStreams():
                counts = FlowCounts(opened_streams=self.stream_count)
                if not await self.fleet.callers.wait_for(counts, STREAM_LIMIT_S):
                    report = await self.fleet.callers.get_report()
                    opened, ended = report.counts.opened_streams, dict(report.outcomes())
                    return Failed(
                        f"{self.stream_count} streams expected, {opened} opened; ended: {ended}"
                    )
            case steps.WaitRequests():
                await asyncio.gather(*self._loads)
                counts = FlowCounts(ended_requests=self.request_count)
                if not await self.fleet.callers.wait_for(counts, REQUEST_LIMIT_S):
                    return Failed("some requests did not end within the time limit")
            case steps.WaitRevision():
                return await self._wait_revision()
            case _:
                assert_never(step)
        return None

    async def _wait_revision(self) -> Failed | None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + REVISION_LIMIT_S
        expected = {"base": self.fleet.expected.base, "overlay": self.fleet.expected.overlay}
        while True:
            seen = {name: await self.fleet.status(name) for name in self.fleet.running()}
            in_force = {name: (body or {}).get("revision") for name, body in seen.items()}
            if all(revision == expected for revision in in_force.values()):
                return None
            if loop.time() > end_s:
                return Failed(f"expected revision {expected}, in force: {in_force}")
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def _expect(self, step: steps.Expectation) -> Failed | None:
        match step:
            case steps.ExpectBrokenStreams(most):
                await asyncio.gather(*self._loads)
                self.fleet.callers.mailbox.put_nowait(EndStreams())
                counts = FlowCounts(ended_streams=self.stream_count)
                await self.fleet.callers.wait_for(counts, STREAM_LIMIT_S)
                report = await self.fleet.callers.get_report()
                return check_streams(report, self.stream_count, most)
            case steps.ExpectAnswers(least):
                await self._wait(steps.WaitRequests())
                return check_answers(await self.fleet.callers.get_report(), least)
            case steps.ExpectRefusals(least):
                await self._wait(steps.WaitRequests())
                return check_refusals(await self.fleet.callers.get_report(), least)
            case steps.ExpectBrokenRequests(most):
                await self._wait(steps.WaitRequests())
                return check_broken_requests(await self.fleet.callers.get_report(), most)
            case steps.ExpectQuiet(target):
                report = await self.fleet.targets[target].get_report()
                return check_quiet(report, self.fleet.drained_ms.get(target))
            case steps.ExpectRefusedRevision():
                return await self._expect_refused()
            case _:
                assert_never(step)

    async def _expect_refused(self) -> Failed | None:
        for name in self.fleet.running():
            body = await self.fleet.status(name)
            if body is None or not body.get("refused"):
                return Failed(f"{name} reports no refused revision")
        return None


async def run_scenario(
    scenario: steps.Scenario, examples: Path, seed: int, progress: Callable[[str], None]
) -> list[ScenarioFailure]:
    """Run a scenario on a new fleet and return the failures."""
    fleet = Fleet(examples / scenario.example, seed)
    runner = Runner(fleet)
    failures: list[ScenarioFailure] = []
    try:
        for not_ready in await fleet.start():
            failures.append(ScenarioFailure(0, not_ready.name, f"not ready:\n{not_ready.output}"))
        if failures:
            return failures
        for numbered in scenario.steps:
            progress(numbered.text)
            failed = await runner.run(numbered.step)
            if failed is not None:
                failures.append(ScenarioFailure(numbered.line, numbered.text, failed.problem))
        for failed in await runner.finish():
            failures.append(ScenarioFailure(0, "invariants", failed.problem))
    finally:
        runner.close()
        await fleet.stop()
    return failures
