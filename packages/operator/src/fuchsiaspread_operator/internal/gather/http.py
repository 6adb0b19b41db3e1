"""Concurrent HTTP GET requests with a timeout for each."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from ..inputs import ErrorResponse, NoResponse, OkResponse, QueryResult

MAX_BODY_BYTES = 16_000_000
# Limit of concurrent connections; a larger fleet is queried in batches of this size.
MAX_CONCURRENT = 256
MAX_REASON_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Query:
    """HTTP GET request; `label` names its destination in reports."""

    label: str
    address: Endpoint
    path: str


async def read_all(queries: Sequence[Query], timeout_s: float) -> tuple[QueryResult, ...]:
    """Run all queries concurrently and return their results in the same order."""
    client = AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT, max_body_size=MAX_BODY_BYTES
    )
    results: list[QueryResult] = []
    try:
        for start in range(0, len(queries), MAX_CONCURRENT):
            batch = queries[start : start + MAX_CONCURRENT]
            results += await asyncio.gather(*(_read(client, query, timeout_s) for query in batch))
    finally:
        client.close()
    return tuple(results)


async def _read(client: AsyncHTTPClient, query: Query, timeout_s: float) -> QueryResult:
    request = HTTPRequest(
        f"http://{query.address.host}:{query.address.port}{query.path}",
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
        follow_redirects=False,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except HTTPTimeoutError:
        return NoResponse(query.label, f"no response within {timeout_s:g} s")
    except (HTTPStreamClosedError, HTTPClientError, OSError, ValueError) as error:
        return NoResponse(query.label, _error_reason(error))
    if response.code == 200:
        return OkResponse(query.label, response.body)
    if response.code == 599:
        return NoResponse(query.label, _error_reason(response.error))
    return ErrorResponse(query.label, response.code, _response_reason(response))


def _error_reason(error: BaseException | None) -> str:
    match error:
        case HTTPTimeoutError():
            return "no response in time"
        case ConnectionRefusedError():
            return "connection refused"
        case OSError() if error.strerror:
            return error.strerror.lower()
        case _:
            return (str(error) or "the connection was closed")[:MAX_REASON_CHARACTERS]


def _response_reason(response: HTTPResponse) -> str:
    try:
        body = json.loads(response.body)
    except (ValueError, RecursionError):
        body = None
    for key in ("reason", "error", "problem"):
        if isinstance(body, dict) and isinstance(body.get(key), str):
            return body[key][:MAX_REASON_CHARACTERS]
    return response.reason or "no reason given"
