"""Run scenario files: `python -m fuchsiaspread_standins.scenario EXAMPLES FILE...`."""

import asyncio
import sys
import time
from pathlib import Path

from .language import InvalidScenario, parse_scenario
from .runner import run_scenario

SEED = 7
USAGE = "usage: python -m fuchsiaspread_standins.scenario EXAMPLES FILE..."


def run_file(examples: Path, path: Path) -> bool:
    """Run one file, print its steps and its failures, and return whether it passed."""
    scenario = parse_scenario(path.read_text(encoding="utf-8"))
    if isinstance(scenario, InvalidScenario):
        print(f"{path.name}:{scenario.line}: {scenario.problem}")
        return False
    started_s = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - started_s:6.1f} s  {text}", flush=True)

    failures = asyncio.run(run_scenario(scenario, examples, SEED, print_progress))
    for failure in failures:
        print(f"{path.name}:{failure.line}: {failure.text}: {failure.problem}")
    print_progress(f"{path.name} {'FAILED' if failures else 'passed'}")
    return not failures


def main(arguments: list[str]) -> int:
    """Run the given files; return 0 only if all of them passed."""
    if len(arguments) < 2:
        print(USAGE)
        return 2
    results = [run_file(Path(arguments[0]), Path(path)) for path in arguments[1:]]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
