"""Task that serves the metrics over HTTP."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from socket import socket
from typing import TYPE_CHECKING

from ..internal.log import Level, Log
from .direct_counts import DirectCounts
from .http_server import respond, start_server
from .messages import CountsAsked, DirectMailboxes

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
ANSWER_TIMEOUT_S = 2.0


class MetricsTask:
    """Own the HTTP server of the metrics address; the core task owns the counters."""

    def __init__(
        self, bound: socket, mailboxes: DirectMailboxes, now_ms: Callable[[], int], log: Log
    ) -> None:
        self._socket = bound
        self._core = mailboxes.core
        self._now_ms = now_ms
        self._log = log
        self._requests: asyncio.Queue[HTTPServerRequest] = asyncio.Queue()

    async def run(self) -> None:
        """Serve one request at a time until cancelled."""
        server = await start_server(self._socket, self._requests.put_nowait)
        try:
            while True:
                request = await self._requests.get()
                try:
                    await self._answer(request)
                except Exception as error:
                    # A defect in one answer must not end the process.
                    self._log.write(Level.ERROR, "metrics_failed", cause=repr(error))
                    _close(request)
        finally:
            server.stop()
            await server.close_all_connections()

    async def _answer(self, request: "HTTPServerRequest") -> None:
        if request.path != METRICS_PATH:
            respond(request, HTTPStatus.NOT_FOUND)
            return
        reply: asyncio.Future[DirectCounts] = asyncio.get_running_loop().create_future()
        self._core.put_control(CountsAsked(reply))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                counts = await reply
        except TimeoutError:
            # The core task is overloaded with packets.
            self._log.write(Level.WARNING, "metrics_late", limit_s=ANSWER_TIMEOUT_S)
            respond(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        # Imported on the first request, to keep the daemon's start-up short.
        from .metrics_text import metrics_text

        respond(request, HTTPStatus.OK, metrics_text(counts, self._now_ms()), CONTENT_TYPE)


def _close(request: "HTTPServerRequest") -> None:
    """Close the connection of a request that is not answered."""
    connection = request.connection
    assert connection is not None
    connection.finish()
