"""Task that tells the fabric over HTTP whether this entry VM takes packets."""

from socket import socket

from fuchsiaspread_core.identifiers import Endpoint
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from .messages import DirectMailboxes

MAX_REQUEST_BYTES = 8 * 1024
IDLE_TIMEOUT_S = 30
READY, NOT_READY, NOT_FOUND = (200, "OK"), (503, "Service Unavailable"), (404, "Not Found")


class ReadinessTask:
    """Own the HTTP server of the readiness address."""

    def __init__(self, bound: socket, path: str, mailboxes: DirectMailboxes) -> None:
        self._mailbox = mailboxes.readiness
        self._path = path
        self._is_ready = False
        self._socket = bound

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return Endpoint(*self._socket.getsockname())

    async def run(self) -> None:
        """Answer until cancelled."""
        server = HTTPServer(
            self._answer,
            max_body_size=MAX_REQUEST_BYTES,
            max_header_size=MAX_REQUEST_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        server.add_socket(self._socket)
        try:
            while True:
                for message in await self._mailbox.take():
                    self._is_ready = message.is_ready
        finally:
            server.stop()
            await server.close_all_connections()

    def _answer(self, request: HTTPServerRequest) -> None:
        if request.path != self._path:
            code, reason = NOT_FOUND
        else:
            code, reason = READY if self._is_ready else NOT_READY
        connection = request.connection
        assert connection is not None
        start_line = ResponseStartLine("HTTP/1.1", code, reason)
        connection.write_headers(start_line, HTTPHeaders({"Content-Length": "0"}))
        connection.finish()
