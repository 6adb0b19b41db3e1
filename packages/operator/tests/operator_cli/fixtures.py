"""Shared test fixtures: example files, HTTP servers and responses of entry VMs."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cleo.testers.command_tester import CommandTester
from fuchsiaspread_operator.main import application
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
Respond = Callable[[str], tuple[int, bytes] | None]


class RespondHandler(RequestHandler):
    """Handler whose responses come from a test's function of the request path and query."""

    def initialize(self, respond: Respond) -> None:
        """Set the function; it returns None to close the connection without a response."""
        self.respond = respond

    async def get(self) -> None:
        """Send the function's response, or close the connection without one."""
        response = self.respond(self.request.uri or "")
        if response is None:
            stream = self.detach()
            stream.close()
            return
        self.set_status(response[0])
        self.finish(response[1])


def start_server(respond: Respond) -> tuple[HTTPServer, str]:
    """Start an HTTP server on a free port and return it with its address."""
    socket, port = bind_unused_port(address="127.0.0.1")
    server = HTTPServer(Application([(r".*", RespondHandler, {"respond": respond})]))
    server.add_sockets([socket])
    return server, f"127.0.0.1:{port}"


def json_responder(bodies: dict[str, Any]) -> Respond:
    """Return a function that responds to each path with JSON, ignoring the query string."""

    def respond(uri: str) -> tuple[int, bytes]:
        body = bodies.get(uri.partition("?")[0])
        if body is None:
            return 404, b'{"error": "unknown path"}'
        return 200, json.dumps(body).encode()

    return respond


def run(command: str, arguments: str) -> tuple[int, str, str]:
    """Run a command and return its exit code, standard output and standard error."""
    tester = CommandTester(application().find(command))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def status(name: str, zone: str = "zone-a", **changes: Any) -> dict[str, Any]:
    """Return a valid `/status` response."""
    target = {
        "name": "desk-1",
        "service": "order-desk",
        "zone": "zone-a",
        "state": "active",
        "reason": None,
        "manager": "entry-1",
        "busy_slots": 2,
        "connections": 40,
    }
    return {
        "name": name,
        "site": "occidente",
        "zone": zone,
        "revision": {"base": 4, "overlay": 7},
        "in_force_since_ms_ago": 65_000,
        "refused": None,
        "is_stale": False,
        "is_stopping": False,
        "platform": {"reachable": True, "since_ms_ago": 10},
        "peers": [],
        "targets": [target],
        "flow_count": 12,
        "queued_count": 0,
    } | changes


def window(window_s: int, **changes: Any) -> dict[str, Any]:
    """Return the counts of one time window."""
    counts = {"opened": 1000, "broken": 0, "answered": 1000, "in_time": 1000, "refused": 0}
    return {"window_s": window_s, "by_target": {}, "by_zone": {}} | counts | changes


def burn(name: str, windows: list[dict[str, Any]], started_ms_ago: int = 10**10) -> dict[str, Any]:
    """Return a valid `/burn` response."""
    objective = {"unbroken_share": 0.999, "in_time_share": 0.99, "period_s": 30 * 86_400}
    service = {"service": "order-desk", "objective": objective, "windows": windows}
    return {"name": name, "started_ms_ago": started_ms_ago, "services": [service]}
