"""Real processes of the daemon: start, freeze, thaw and end them by their id."""

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
# The size of a rule acknowledgement; see `hook`.
ACKNOWLEDGEMENT_BYTES = 16
OUTPUT_TAIL_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class NotReady:
    """Report a process that did not become ready, with the end of its output."""

    name: str
    output: str


class EntryProcess:
    """Own one daemon process; only its own id is ever signalled."""

    def __init__(self, name: str, host: str, admin: Endpoint, settings: Path) -> None:
        self.name, self.host, self.admin = name, host, admin
        self._settings = settings
        self._output = settings.with_suffix(".log")
        self._process: asyncio.subprocess.Process | None = None
        self._control: socket.socket | None = None
        self.is_frozen = False

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Start the daemon under the socket hook."""
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
        """Wait until `/ready` answers 200; the daemon has no event to wait on from outside."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.is_running and loop.time() < end_s:
            if await self.fetch("/ready") is not None:
                return None
            await asyncio.sleep(READY_INTERVAL_S)
        return NotReady(self.name, self.output())

    async def fetch(self, path: str) -> bytes | None:
        """Return the body of an answer of the admin address, or None when there is no 200."""
        url = f"http://{self.admin.host}:{self.admin.port}{path}"
        try:
            answer = await AsyncHTTPClient().fetch(url, request_timeout=HTTP_LIMIT_S)
        except (HTTPClientError, OSError):
            return None
        return answer.body

    async def set_rules(self, rules: tuple[LinkRule, ...]) -> None:
        """Put link faults in force in the process; a frozen process takes them on waking."""
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
        """Stop the process in its tracks."""
        self._signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self) -> None:
        """Ask for a graceful stop."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)
        self.is_frozen = False

    async def wait_ended(self, limit_s: float) -> int | None:
        """Wait for the end and return the exit status, or None at the limit."""
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
        """Return the end of what the process printed."""
        if not self._output.exists():
            return ""
        return self._output.read_text(errors="replace")[-OUTPUT_TAIL_CHARACTERS:]

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running and self._process is not None:
            self._process.send_signal(number)
