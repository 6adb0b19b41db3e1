"""Tests of the daemon as a process: start, health, settings and graceful stop."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request
from pathlib import Path

SETTINGS = """
name: entry-1
site: occidente
zone: zone-x
fabric: {listen: "FREE", gateway: "127.0.0.1:9"}
peer: "FREE"
control: "FREE"
admin: "FREE"
platform: ["127.0.0.1:9"]
keys: [{id: 1, secret: "SECRET"}]
stop_grace_ms: 20000
"""
SECRET = "5a" * 32
PROCESS_TIMEOUT_S = 30


def free_address() -> str:
    """Return a loopback address with a port that the kernel has just reported as free."""
    # Settings need explicit ports; a loopback host per process avoids collisions between tests.
    host = "127.9.{}.{}".format(*divmod(os.getpid() % 65_000, 256))
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def start(settings: str, folder: str) -> subprocess.Popen[str]:
    """Start the daemon with a settings file; replace each FREE by a free address."""
    while "FREE" in settings:
        settings = settings.replace("FREE", free_address(), 1)
    path = Path(folder, "settings.yaml")
    path.write_text(settings, encoding="utf-8")
    command = [sys.executable, "-m", "fuchsiaspread_entry.main", "run", "--settings", str(path)]
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, env=dict(os.environ)
    )


class DaemonProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def _start(self, settings: str) -> subprocess.Popen[str]:
        process = start(settings, self.folder)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def test_daemon_answers_and_stops_gracefully(self) -> None:
        """Guards against a daemon that starts without one of its tasks or dies on a signal."""
        process = self._start(SETTINGS.replace("SECRET", SECRET))
        assert process.stdout is not None
        started = process.stdout.readline()
        address = re.search(r" admin=(\S+)", started)
        assert address is not None, started
        url = f"http://{address[1]}"
        with urllib.request.urlopen(f"{url}/health", timeout=PROCESS_TIMEOUT_S) as answer:
            self.assertEqual(json.load(answer), {"healthy": True})
        with urllib.request.urlopen(f"{url}/status", timeout=PROCESS_TIMEOUT_S) as answer:
            self.assertEqual(json.load(answer)["revision"], {"base": 0, "overlay": 0})
        with self.assertRaises(urllib.error.HTTPError) as not_ready:
            urllib.request.urlopen(f"{url}/ready", timeout=PROCESS_TIMEOUT_S)
        self.assertEqual(not_ready.exception.code, 503)
        not_ready.exception.close()
        path = Path(self.folder, "settings.yaml")
        path.write_text(path.read_text().replace("zone-x", "zone-y"), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=PROCESS_TIMEOUT_S)
        self.assertEqual((process.returncode, errors), (0, ""))
        self.assertIn(" event=settings_reloaded ", output)
        self.assertIn(" event=settings_need_restart settings=zone", output)
        self.assertIn(" event=stop_requested ", output)
        self.assertNotIn(SECRET, started + output)

    def test_all_faults_of_the_settings_are_reported_together(self) -> None:
        """Guards against a traceback, a leaked secret and reports of only one fault per start."""
        broken = SETTINGS.replace("SECRET", "5a5a").replace("zone:", "zona:")
        process = self._start(broken)
        output, errors = process.communicate(timeout=PROCESS_TIMEOUT_S)
        self.assertEqual(process.returncode, 2)
        self.assertIn("zona", errors)
        self.assertIn("secret", errors)
        self.assertNotIn("Traceback", output + errors)
        self.assertNotIn("5a5a", output + errors)
