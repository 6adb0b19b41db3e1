"""The small HTTP servers of the direct daemon."""

from collections.abc import Callable
from http import HTTPStatus
from socket import socket

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

MAX_REQUEST_BYTES = 8 * 1024
IDLE_TIMEOUT_S = 30


def start_server(bound: socket, answer: Callable[[HTTPServerRequest], None]) -> HTTPServer:
    """Return a running server that accepts on a bound socket."""
    server = HTTPServer(
        answer,
        max_body_size=MAX_REQUEST_BYTES,
        max_header_size=MAX_REQUEST_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    server.add_socket(bound)
    return server


def respond(
    request: HTTPServerRequest, status: HTTPStatus, body: bytes = b"", content_type: str = ""
) -> None:
    """Answer a request and finish it."""
    connection = request.connection
    assert connection is not None
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    if content_type:
        headers["Content-Type"] = content_type
    start_line = ResponseStartLine("HTTP/1.1", status.value, status.phrase)
    connection.write_headers(start_line, headers, body or None)
    connection.finish()
