"""HTTP client against a server that sends given bytes."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import MagicMock, patch

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_entry.direct.http_client import (
    BodyTooLarge,
    HttpFailure,
    HttpLimits,
    HttpOutcome,
    HttpResponse,
    http_get,
)
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = HttpLimits(
    connect_timeout_s=2.0,
    first_byte_timeout_s=5.0,
    silence_timeout_s=5.0,
    total_timeout_s=5.0,
    body_bytes=1_000,
)
LONG_LIMITS = HttpLimits(100.0, 100.0, 100.0, 100.0, body_bytes=1_000)
HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10.0
COUNTED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"


class Server:
    """Send the same pieces on each connection, then close it."""

    def __init__(self, *pieces: bytes, is_silent: bool = False) -> None:
        self.requests: list[bytes] = []
        self._pieces = pieces
        self._is_silent = is_silent

    async def get(self, limits: HttpLimits = LIMITS) -> HttpOutcome:
        """Return the client's result for this response."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            return await http_get(Endpoint(host, port), "/items?prefix=a%2Fb", limits)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()
            if self._is_silent:
                # Wait until the client gives up and closes the connection.
                await reader.read()
        except ConnectionError:
            return
        finally:
            writer.close()


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_has_path_and_host(self) -> None:
        """Guards against a lost query string, and a request without a Host header."""
        server = Server(COUNTED)
        self.assertEqual(await server.get(), HttpResponse(200, b"hello"))
        (request,) = server.requests
        self.assertTrue(request.startswith(b"GET /items?prefix=a%2Fb HTTP/1.1\r\nHost: 127.0.0.1:"))

    async def test_chunked_response_in_pieces_is_complete(self) -> None:
        """Guards against a body truncated after the first packet."""
        pieces = [CHUNKED[at : at + 7] for at in range(0, len(CHUNKED), 7)]
        self.assertEqual(await Server(*pieces).get(), HttpResponse(200, b"hello"))

    async def test_status_is_reported(self) -> None:
        """Guards against taking an error response for a successful one."""
        answer = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(await Server(answer).get(), HttpResponse(429, b""))

    async def test_truncated_response_is_a_failure(self) -> None:
        """Guards against taking part of a list for the whole."""
        outcome = await Server(COUNTED[:-2]).get()
        assert isinstance(outcome, HttpFailure), outcome
        self.assertIn("closed before the response was complete", outcome.cause)

    async def test_malformed_response_is_a_failure(self) -> None:
        """Guards against a parser exception that ends the store task."""
        self.assertIsInstance(await Server(b"what is this\r\n\r\n").get(), HttpFailure)

    async def test_oversized_response_is_a_failure(self) -> None:
        """Guards against a body that exhausts the VM's memory."""
        body = b"x" * (LIMITS.body_bytes + 1)
        header = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.assertEqual(await Server(header + body).get(), BodyTooLarge())

    async def test_silent_server_times_out(self) -> None:
        """Guards against waiting for ever on a connection that went silent."""
        limits = replace(LIMITS, first_byte_timeout_s=0.05)
        outcome = await Server(is_silent=True).get(limits)
        self.assertEqual(outcome, HttpFailure("timed out waiting for the response"))

    async def test_response_that_stops_halfway_times_out(self) -> None:
        """Guards against waiting for the rest of an answer that was lost."""
        limits = replace(LIMITS, silence_timeout_s=0.05)
        outcome = await Server(COUNTED[:10], is_silent=True).get(limits)
        self.assertEqual(outcome, HttpFailure("timed out waiting for the response"))

    async def test_response_that_takes_longer_than_each_silence_is_complete(self) -> None:
        """Guards against a large response on a slow link that is asked for again and again.

        The link passes a byte on only after the client has waited for it.
        """
        waits: list[float] = []
        limits = replace(LIMITS, first_byte_timeout_s=3.0, silence_timeout_s=2.0)
        timeout = asyncio.timeout

        def record(delay_s: float | None) -> asyncio.Timeout:
            waits.append(delay_s or 0.0)
            return timeout(delay_s)

        with patch("asyncio.timeout", record):
            outcome = await Server(*(COUNTED[at : at + 1] for at in range(len(COUNTED)))).get(
                limits
            )
        self.assertEqual(outcome, HttpResponse(200, b"hello"))
        # The whole call, the connection, the first byte, and each wait for more.
        self.assertEqual(waits[:3], [5.0, 2.0, 3.0])
        self.assertEqual(set(waits[3:]), {2.0})

    async def test_response_that_trickles_times_out(self) -> None:
        """Guards against a call that goes on for ever with a byte now and then."""
        limits = replace(LIMITS, total_timeout_s=0.05)
        outcome = await Server(COUNTED[:10], is_silent=True).get(limits)
        self.assertEqual(outcome, HttpFailure("timed out waiting for the response"))

    async def test_refused_connection_is_a_failure(self) -> None:
        """Guards against an uncaught exception when the store is down."""
        server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        self.assertIsInstance(await http_get(Endpoint(host, port), "/", LIMITS), HttpFailure)


class ArbitraryResponseTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.binary(max_size=80), st.sampled_from((b"", b"HTTP/1.1 200 OK\r\n", COUNTED)))
    def test_any_bytes_give_a_result(self, content: bytes, start: bytes) -> None:
        """Guards against a response of some other server that crashes the daemon."""
        outcome = asyncio.run(Server(start + content).get())
        self.assertIsInstance(outcome, HttpResponse | HttpFailure)

    async def _call(self, connected: asyncio.Future) -> HttpOutcome:
        async def connect(host: str, port: int) -> object:
            return await connected

        with patch("asyncio.open_connection", connect):
            return await http_get(Endpoint(HOST, 9), "/", LONG_LIMITS)

    def test_cancellation_that_comes_with_the_connection_is_not_lost(self) -> None:
        """Guards against a stop that waits for a task which has lost its cancellation."""

        async def cancel_after(ticks: int) -> bool:
            connected = asyncio.get_running_loop().create_future()
            calling = asyncio.create_task(self._call(connected))
            for _ in range(4):
                await asyncio.sleep(0)
            connected.set_result((asyncio.StreamReader(), MagicMock()))
            for _ in range(ticks):
                await asyncio.sleep(0)
            calling.cancel()
            await asyncio.wait([calling], timeout=TEST_TIMEOUT_S)
            return calling.cancelled()

        for ticks in range(6):
            self.assertTrue(asyncio.run(cancel_after(ticks)), ticks)
