"""Run both example deployments through planned changes: `python -m fuchsiaspread_standins.demo`.

Each deployment is one site on loopback: entry VM processes, and a simulated platform, targets,
callers and network fabric, which distributes the callers' packets over the entry VMs.
"""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from .fleet import Fleet, SiteReport
from .scenario import InvalidScenario, Runner, parse_scenario
from .scenario.expectations import Tally, tally

EXAMPLES = Path("examples")
SEED = 1
STREAMS, REQUESTS, BULKY_REQUESTS = 400, 600, 60

# The same load runs during a weight change, a drain and a restart of an entry VM.
STEPS = """
deployment {example}
load {streams} streams on {stream_address} every 500ms
wait for streams
load {requests} requests on {request_address} working 20ms over 15s
load {bulky_requests} requests on {bulky_address} working 150ms over 15s
wait 1s
change weight of {weighted_target} to 2
wait for revision
change drain {drained_target}
wait for revision
wait 4s
fault stop {restarted_entry}
fault start {restarted_entry}
wait 2s
wait for requests
wait for revision
expect quiet {drained_target}
expect broken requests at most 0
expect broken streams at most 0
"""


@dataclass(frozen=True, slots=True)
class Demo:
    """Hold the names in one example deployment that the demo uses."""

    example: str
    stream_address: str
    request_address: str
    bulky_address: str
    weighted_target: str
    drained_target: str
    restarted_entry: str


DEMOS = (
    Demo("empresa", "screens", "job-cards", "scans", "desk-1", "desk-2", "entry-2"),
    Demo("glenfixer", "hazards", "bookings", "consignments", "track-1", "track-2", "entry-3"),
)


@dataclass(frozen=True, slots=True)
class Summary:
    """Hold the results of one deployment for the final table."""

    example: str
    counts: Tally | None
    revisions: dict[str, str]
    problems: tuple[str, ...]


def scenario_text(demo: Demo) -> str:
    """Return the scenario text for one example deployment."""
    return STEPS.format(
        example=demo.example,
        streams=STREAMS,
        requests=REQUESTS,
        bulky_requests=BULKY_REQUESTS,
        stream_address=demo.stream_address,
        request_address=demo.request_address,
        bulky_address=demo.bulky_address,
        weighted_target=demo.weighted_target,
        drained_target=demo.drained_target,
        restarted_entry=demo.restarted_entry,
    )


async def run_demo(demo: Demo) -> Summary:
    """Run one example deployment and print its progress."""
    scenario = parse_scenario(scenario_text(demo))
    assert not isinstance(scenario, InvalidScenario), scenario
    started_s = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{demo.example:10} {time.monotonic() - started_s:5.1f} s  {text}", flush=True)

    fleet = Fleet(EXAMPLES / demo.example, SEED)
    runner = Runner(fleet)
    problems: list[str] = []
    print_progress("starting platform, fabric, targets, callers and the entry VM processes")
    try:
        for not_ready in await fleet.start():
            problems.append(f"{not_ready.name} is not ready:\n{not_ready.output}")
        if problems:
            return Summary(demo.example, None, {}, tuple(problems))
        print_progress(f"ready: {', '.join(fleet.running())}")
        for numbered in scenario.steps:
            print_progress(f"{numbered.text:52} {progress(await fleet.report())}")
            failed = await runner.run(numbered.step)
            if failed is not None:
                problems.append(f"{numbered.text}: {failed.problem}")
        problems += [failed.problem for failed in await runner.finish()]
        counts = tally(await fleet.report())
        problems += refusal_problems(counts)
        return Summary(demo.example, counts, await revisions(fleet), tuple(problems))
    finally:
        runner.close()
        await fleet.stop()


def refusal_problems(counts: Tally) -> list[str]:
    """Return any refusal as a problem, because the load of the demo is light."""
    if counts.refused == 0:
        return []
    return [
        f"{counts.refused} requests were refused under light load; search the logs for open_refused"
    ]


def progress(report: SiteReport) -> str:
    """Return a one-line summary of the flows."""
    counts, open_count = tally(report), report.callers.open_count
    broken = counts.broken_streams + counts.broken_requests
    return (
        f"{open_count} open, {counts.answered_requests} answered, "
        f"{counts.refused} refused, {broken} broken"
    )


async def revisions(fleet: Fleet) -> dict[str, str]:
    """Return the revision in force at each entry VM, as base/overlay."""
    found = {}
    for name in fleet.processes:
        status = await fleet.status(name)
        revision = None if status is None else status.get("revision")
        is_known = isinstance(revision, dict)
        found[name] = f"{revision['base']}/{revision['overlay']}" if is_known else "no answer"
    return found


def rows(summary: Summary) -> list[tuple[str, str]]:
    """Return the rows of the final table for one deployment."""
    counts = summary.counts
    if counts is None:
        return [("result", "not started")]
    return [
        ("flows opened", str(counts.opened)),
        ("complete answers", str(counts.answered_requests)),
        ("complete streams", str(counts.complete_streams)),
        ("broken flows", str(counts.broken_streams + counts.broken_requests)),
        ("wrong-service packets", str(counts.wrong_service_packets)),
        ("refusals", str(counts.refused)),
        ("refused but run", str(len(counts.not_run_lies))),
        ("run twice", str(len(counts.double_runs))),
        *((f"revision at {name}", value) for name, value in summary.revisions.items()),
    ]


def print_table(summaries: list[Summary]) -> None:
    """Print one column per deployment, then the problems."""
    columns = [dict(rows(summary)) for summary in summaries]
    labels = list(dict.fromkeys(label for column in columns for label in column))
    print(f"\n{'':24}" + "".join(f"{summary.example:>14}" for summary in summaries))
    for label in labels:
        print(f"{label:24}" + "".join(f"{column.get(label, '-'):>14}" for column in columns))
    for summary in summaries:
        for problem in summary.problems:
            print(f"BROKEN {summary.example}: {problem}")


def main() -> int:
    """Run both examples; return 1 if there was any problem."""
    if not EXAMPLES.is_dir():
        print(f"{EXAMPLES.resolve()} not found; run the demo from the root of the repository")
        return 1
    summaries = [asyncio.run(run_demo(demo)) for demo in DEMOS]
    print_table(summaries)
    return 1 if any(summary.problems for summary in summaries) else 0


if __name__ == "__main__":
    sys.exit(main())
