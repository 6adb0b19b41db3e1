"""Run the unit and integration tests of the given packages and print a summary line."""

import json
import subprocess
import sys
import unittest
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
RESULT_MARK = "run_tests.result="
# The only package outside `packages/`.
PLATFORM = "platform"


@dataclass(slots=True)
class Totals:
    """Sum of the outcomes of one or more test runs."""

    passed: int = 0
    failed: list[str] = field(default_factory=list)
    known_red: list[str] = field(default_factory=list)
    skipped: int = 0


def known_red_names() -> frozenset[str]:
    """Return the tests that may fail, from the `test: <name>` lines of KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(line[5:].strip() for line in lines if line.startswith("test:"))


def run_package(package: str) -> int:
    """Run the tests of one package in this process and print the outcome as JSON."""
    parent = ROOT if package == PLATFORM else ROOT / "packages"
    tests = parent / package / "tests"
    suite = unittest.TestLoader().discover(str(tests), top_level_dir=str(tests))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    # A failing subtest is listed by itself; count its test case once.
    broken = {getattr(case, "test_case", case).id() for case, _ in result.failures + result.errors}
    broken |= {case.id() for case in result.unexpectedSuccesses}
    skipped = len(result.skipped)
    outcome = {"run": result.testsRun, "broken": sorted(broken), "skipped": skipped}
    print(RESULT_MARK + json.dumps(outcome), flush=True)
    return 0


def collect(package: str, totals: Totals, known_red: frozenset[str]) -> None:
    """Run one package's tests in a separate process and add the outcome to the totals."""
    print(f"== {package}", flush=True)
    command = [sys.executable, "-X", "dev", "-W", "ignore", __file__, "--package", package]
    finished = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    marked = [line for line in finished.stdout.splitlines() if line.startswith(RESULT_MARK)]
    if not marked:
        print(finished.stdout)
        totals.failed.append(f"{package}: the test process ended with {finished.returncode}")
        return
    outcome = json.loads(marked[-1].removeprefix(RESULT_MARK))
    broken = outcome["broken"]
    totals.known_red += [name for name in broken if name in known_red]
    totals.failed += [name for name in broken if name not in known_red]
    totals.skipped += outcome["skipped"]
    totals.passed += max(0, outcome["run"] - len(broken) - outcome["skipped"])


def main(arguments: list[str]) -> int:
    """Test the given packages; return 0 if a test passed and none failed unexpectedly."""
    if arguments[:1] == ["--package"]:
        return run_package(arguments[1])
    totals = Totals()
    known_red = known_red_names()
    for package in arguments:
        collect(package, totals, known_red)
    for name in totals.known_red:
        print(f"expected failure, listed in KNOWN-RED.txt: {name}")
    for name in totals.failed:
        print(f"FAILED {name}")
    if totals.passed == 0:
        print("no test passed: check that the packages' tests folders are in place")
    print(f"{totals.passed} passed, {len(totals.failed)} failed")
    return 1 if totals.failed or totals.passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
