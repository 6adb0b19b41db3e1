"""Minimal HTTP GET client for the store, with one connection per call.

Importing a full HTTP client would take a sixth of the daemon's start-up time, during which callers
wait after a restart. A parser and asyncio streams are enough here.
"""

import asyncio
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint
from httptools import HttpParserError, HttpResponseParser

CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Report that no complete response was received, and why."""

    cause: str


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """Report that a response has more bytes than the limit."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Timeouts and size limit of one call.

    A large response on a slow link takes long, but its bytes keep coming: `silence_timeout_s` is
    the time without any after the first ones. `total_timeout_s` ends a response that trickles.
    """

    connect_timeout_s: float
    first_byte_timeout_s: float
    silence_timeout_s: float
    total_timeout_s: float
    body_bytes: int


HttpOutcome = HttpResponse | BodyTooLarge | HttpFailure


async def http_get(server: Endpoint, path: str, limits: HttpLimits) -> HttpOutcome:
    """Return the response to a GET request; redirects are not followed."""
    try:
        async with asyncio.timeout(limits.total_timeout_s):
            return await _call(server, path, limits)
    except TimeoutError:
        return HttpFailure("timed out waiting for the response")
    except (OSError, HttpParserError) as error:
        return HttpFailure(str(error) or type(error).__name__)


async def _call(server: Endpoint, path: str, limits: HttpLimits) -> HttpOutcome:
    try:
        # `asyncio.wait_for` would lose a cancellation that comes as the connection is made.
        async with asyncio.timeout(limits.connect_timeout_s):
            reader, writer = await asyncio.open_connection(server.host, server.port)
    except TimeoutError:
        return HttpFailure("timed out connecting")
    try:
        header = f"GET {path} HTTP/1.1\r\nHost: {server.host}:{server.port}\r\nConnection: close"
        writer.write(f"{header}\r\n\r\n".encode("ascii"))
        return await _read_response(reader, limits)
    finally:
        # Nothing is left to send, and a graceful close would wait for a peer that may be gone.
        writer.transport.abort()


async def _read_response(reader: asyncio.StreamReader, limits: HttpLimits) -> HttpOutcome:
    received = _ResponseCollector()
    parser = HttpResponseParser(received)
    timeout_s = limits.first_byte_timeout_s
    while not received.is_complete:
        async with asyncio.timeout(timeout_s):
            chunk = await reader.read(CHUNK_BYTES)
        if not chunk:
            return HttpFailure("connection closed before the response was complete")
        timeout_s = limits.silence_timeout_s
        parser.feed_data(chunk)
        if len(received.body) > limits.body_bytes:
            return BodyTooLarge()
    return HttpResponse(parser.get_status_code(), bytes(received.body))


class _ResponseCollector:
    """Collect the body from the parser's callbacks."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.is_complete = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True
