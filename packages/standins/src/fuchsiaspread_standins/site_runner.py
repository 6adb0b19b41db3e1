"""Run a site for manual tests: `python -m fuchsiaspread_standins.site_runner EXAMPLE`."""

import asyncio
import signal
import sys
from pathlib import Path

from .fleet import Fleet, SiteReport
from .internal.deployment import configured_octet
from .internal.networks import reserve_fixed_network
from .scenario.expectations import tally
from .site import Site

SEED = 1
# The site stops after this time even if nobody interrupts it.
LIMIT_S = 3_600
USAGE = "usage: python -m fuchsiaspread_standins.site_runner EXAMPLE, for example examples/empresa"


def description(site: Site, example: Path) -> str:
    """Return the addresses and commands for work with the running site."""
    fleet = site.fleet
    rows = [
        f"site {fleet.deployment.site} is running; stop it with Ctrl-C (it stops after 1 h)",
        f"platform      {fleet.deployment.platform.host}:{fleet.deployment.platform.port}",
        f"members list  {example / 'members.json'}",
        f"logs          {fleet.log_folder}/entry-*.log, beside the settings in use",
        f"an open flow  {site.example_flow() or 'none, because no address accepts streams'}",
    ]
    for name, process in fleet.processes.items():
        admin = f"{process.admin.host}:{process.admin.port}"
        rows.append(f"{name:13} admin {admin}, process id {process.process_id}")
    control = f".venv/bin/python -m fuchsiaspread_standins.site_control {example}"
    rows.append(f"publish       {control} publish DIRECTORY")
    rows.append(f"inject fault  {control} fault stop {next(iter(fleet.processes))}")
    return "\n".join(rows)


def outcomes(report: SiteReport) -> str:
    """Return a summary of the outcomes, to compare with the output of the operator commands."""
    counts = tally(report)
    return (
        f"callers saw {counts.opened} flows opened, {counts.answered_requests} requests answered, "
        f"{counts.refused} refused, {counts.broken_requests} requests and "
        f"{counts.broken_streams} streams broken; "
        f"targets ran {len(counts.not_run_lies)} of the refused requests, "
        f"and {len(counts.double_runs)} requests more than once"
    )


async def keep_running(example: Path) -> int:
    """Run a site until a signal arrives or the time limit is reached; return the exit status."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    try:
        second_octet = configured_octet(example)
        site = Site(Fleet(example, SEED, reserve_fixed_network(second_octet)))
    except OSError as error:
        print(f"{example}: {error}; stop the other run of this site first")
        return 1
    try:
        print("starting platform, fabric, targets, callers and the entry VM processes", flush=True)
        failures = await site.start()
        for failure in failures:
            print(f"{failure.name} is not ready:\n{failure.output}")
        if failures:
            return 1
        print(description(site, example), flush=True)
        try:
            await asyncio.wait_for(interrupted.wait(), LIMIT_S)
        except TimeoutError:
            print("stopping: the time limit of 1 h was reached")
        print(outcomes(await site.fleet.report()))
        return 0
    finally:
        await site.stop()
        print("the site has stopped")


def main(arguments: list[str]) -> int:
    """Run the site of the named example."""
    if len(arguments) != 1 or not (Path(arguments[0]) / "base.yaml").is_file():
        print(USAGE)
        return 2
    return asyncio.run(keep_running(Path(arguments[0])))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
