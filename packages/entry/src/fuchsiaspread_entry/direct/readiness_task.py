"""Task that serves the readiness probes of the fabric over HTTP."""

from http import HTTPStatus
from socket import socket
from typing import TYPE_CHECKING

from .http_server import respond, start_server
from .messages import DirectMailboxes

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest


class ReadinessTask:
    """Own the HTTP server of the readiness address."""

    def __init__(self, bound: socket, path: str, mailboxes: DirectMailboxes) -> None:
        self._mailbox = mailboxes.readiness
        self._path = path
        self._is_ready = False
        self._socket = bound

    async def run(self) -> None:
        """Serve requests until cancelled."""
        server = await start_server(self._socket, self._answer)
        try:
            while True:
                for message in await self._mailbox.take():
                    self._is_ready = message.is_ready
        finally:
            server.stop()
            await server.close_all_connections()

    def _answer(self, request: "HTTPServerRequest") -> None:
        if request.path != self._path:
            respond(request, HTTPStatus.NOT_FOUND)
        elif self._is_ready:
            respond(request, HTTPStatus.OK)
        else:
            respond(request, HTTPStatus.SERVICE_UNAVAILABLE)
