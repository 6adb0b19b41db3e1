"""Start-up and responses of the direct daemon's small HTTP servers."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from socket import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer
    from tornado.httputil import HTTPServerRequest

MAX_REQUEST_BYTES = 8 * 1024
IDLE_TIMEOUT_S = 30
# Importing the HTTP library blocks a slow VM for 0.1 s; packets that arrived during the start-up
# are handled first.
START_DELAY_S = 0.3


async def start_server(
    bound: socket, handler: Callable[["HTTPServerRequest"], None]
) -> "HTTPServer":
    """Start a server on a bound socket, where requests queue until then, and return it."""
    await asyncio.sleep(START_DELAY_S)
    from tornado.httpserver import HTTPServer

    server = HTTPServer(
        handler,
        max_body_size=MAX_REQUEST_BYTES,
        max_header_size=MAX_REQUEST_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    server.add_socket(bound)
    return server


def respond(
    request: "HTTPServerRequest", status: HTTPStatus, body: bytes = b"", content_type: str = ""
) -> None:
    """Send the complete response to a request; one to HEAD has the headers of GET and no body."""
    from tornado.httputil import HTTPHeaders, ResponseStartLine

    connection = request.connection
    assert connection is not None
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    if content_type:
        headers["Content-Type"] = content_type
    start_line = ResponseStartLine("HTTP/1.1", status.value, status.phrase)
    sent = None if request.method == "HEAD" else body or None
    connection.write_headers(start_line, headers, sent)
    connection.finish()
