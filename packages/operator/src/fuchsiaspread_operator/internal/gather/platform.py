"""Reads the platform's configuration service (Consul's key-value API)."""

import base64
import binascii
import json
from typing import Annotated

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import Fault
from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from ..inputs import (
    ErrorResponse,
    NoResponse,
    OkResponse,
    PlatformOutcome,
    PublishedValue,
    QueryResult,
)
from ..outcomes import InvalidInput, PlatformUnreachable
from .http import Query, read_all


class _KeyModel(BaseModel):
    """Entry of a key-value response."""

    value: str | None = Field(alias="Value")
    index: Annotated[int, Field(alias="ModifyIndex", ge=0)]


_KEY_RESPONSE = TypeAdapter(Annotated[list[_KeyModel], Field(min_length=1, max_length=1)])


async def read_keys(
    address: Endpoint, keys: tuple[str, ...], timeout_s: float
) -> tuple[PlatformOutcome, ...]:
    """Read keys from the platform once, without a blocking query."""
    queries = [Query(key, address, f"/v1/kv/{key}") for key in keys]
    results = await read_all(queries, timeout_s)
    return tuple(_platform_outcome(address, result) for result in results)


def _platform_outcome(address: Endpoint, result: QueryResult) -> PlatformOutcome:
    where = f"{address.host}:{address.port}"
    match result:
        case OkResponse(label=key, body=body):
            return _decode_value(key, body)
        case ErrorResponse(label=key, status=404):
            fault = Fault(key, "", "the platform has no such key", "publish the file first")
            return InvalidInput((fault,))
        case ErrorResponse(status=status, reason=reason):
            problem = f"the platform returned HTTP status {status}: {reason}"
            return PlatformUnreachable(
                where, problem, "try again; if this persists, contact the platform's operators"
            )
        case NoResponse(reason=reason):
            problem = f"the platform did not respond: {reason}"
            return PlatformUnreachable(
                where,
                problem,
                "check the address; without the platform, use --members FILE for reports and "
                "--against DIRECTORY for check",
            )


def _decode_value(key: str, body: bytes) -> PublishedValue | InvalidInput:
    try:
        (entry,) = _KEY_RESPONSE.validate_json(body)
        content = base64.b64decode(entry.value or "", validate=True)
    except (ValidationError, binascii.Error, json.JSONDecodeError):
        problem = "the platform's response has an unexpected form"
        remedy = "check that the address is that of the configuration service"
        return InvalidInput((Fault(key, "", problem, remedy),))
    return PublishedValue(key, entry.index, content)
