"""Runs each scenario file on daemon processes."""

import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FILES = sorted((Path(__file__).parent.parent / "scenarios").glob("*.scenario"))
EXAMPLES = Path(__file__).parents[4] / "examples"
# Each scenario runs five processes; more scenarios at once would overload a shared machine.
CONCURRENT_SCENARIOS = 2


def run(path):
    command = [sys.executable, "-m", "fuchsiaspread_standins.scenario", str(EXAMPLES), str(path)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class Scenarios(unittest.TestCase):
    """Guards against violated invariants under each kind of failure, alone and in pairs."""

    @classmethod
    def setUpClass(cls):
        cls.pool = ThreadPoolExecutor(CONCURRENT_SCENARIOS)
        cls.finished = {path: cls.pool.submit(run, path) for path in FILES}

    @classmethod
    def tearDownClass(cls):
        cls.pool.shutdown()

    def check(self, path):
        finished = self.finished[path].result()
        self.assertEqual(0, finished.returncode, finished.stdout + finished.stderr)


def _test_of(path):
    return lambda self: self.check(path)


# One test per file, so that a failing scenario is reported by its name.
for _path in FILES:
    setattr(Scenarios, "test_" + _path.stem.replace("-", "_"), _test_of(_path))
