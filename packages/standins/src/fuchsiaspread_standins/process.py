"""Processes of the daemon: start, pause, resume, stop and kill them by process id."""

import asyncio
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from fuchsiaspread_core.identifiers import Endpoint
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from .internal.faults import LinkRule, encode_rules

READY_INTERVAL_S = 0.05
HTTP_LIMIT_S = 2.0
# Buffer size for the acknowledgement of rules by `hook`.
ACKNOWLEDGEMENT_BYTES = 16
OUTPUT_TAIL_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class NotReady:
    """Report a process that did not become ready, with the tail of its output."""

    name: str
    output: str


class EntryProcess:
    """Own one daemon process; signals are sent to its process id only."""

    def __init__(self, name: str, host: str, admin: Endpoint, settings: Path) -> None:
        self.name, self.host, self.admin = name, host, admin
        self._settings = settings
        self._output = settings.with_suffix(".log")
        self._process: asyncio.subprocess.Process | None = None
        self._control: socket.socket | None = None
        self.is_frozen = False

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Start the daemon under `hook`, which injects socket faults."""
        assert not self.is_running
        self._control, inherited = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._control.setblocking(False)
        module = ["-m", "fuchsiaspread_standins.hook", str(inherited.fileno()), self.host]
        command = [*module, "run", "--settings", str(self._settings)]
        with self._output.open("ab") as output, inherited:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                pass_fds=[inherited.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def wait_ready(self, limit_s: float) -> NotReady | None:
        """Poll `/ready` until it answers 200; the daemon does not notify other processes."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.is_running and loop.time() < end_s:
            if await self.fetch("/ready") is not None:
                return None
            await asyncio.sleep(READY_INTERVAL_S)
        return NotReady(self.name, self.output())

    async def fetch(self, path: str) -> bytes | None:
        """Return the body of a path at the admin address, or None if the status is not 200."""
        url = f"http://{self.admin.host}:{self.admin.port}{path}"
        try:
            answer = await AsyncHTTPClient().fetch(url, request_timeout=HTTP_LIMIT_S)
        except (HTTPClientError, OSError):
            return None
        return answer.body

    async def set_rules(self, rules: tuple[LinkRule, ...]) -> None:
        """Set the link faults of the process; a paused process applies them when it resumes."""
        if not self.is_running or self._control is None:
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_sendall(self._control, encode_rules(rules))
            if not self.is_frozen:
                await loop.sock_recv(self._control, ACKNOWLEDGEMENT_BYTES)
        except (BrokenPipeError, ConnectionResetError):
            return

    def freeze(self) -> None:
        """Pause the process."""
        self._signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume a paused process."""
        self._signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self) -> None:
        """Request a graceful stop."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self._signal(signal.SIGKILL)
        self.is_frozen = False

    async def wait_ended(self, limit_s: float) -> int | None:
        """Wait for the process to exit; return its status, or None after `limit_s`."""
        if self._process is None:
            return None
        try:
            status = await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            return None
        if self._control is not None:
            self._control.close()
            self._control = None
        return status

    def output(self) -> str:
        """Return the tail of the output of the process."""
        if not self._output.exists():
            return ""
        return self._output.read_text(errors="replace")[-OUTPUT_TAIL_CHARACTERS:]

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running and self._process is not None:
            self._process.send_signal(number)
