"""Reading of the platform's configuration service (Consul's key-value API)."""

import base64
import binascii
import json
from typing import Annotated

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import Fault
from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from ..inputs import Answered, NotAnswered, PlatformOutcome, Published, Rejected, Reply
from ..outcomes import Unreachable, Unusable
from .http import Query, read_all


class _KeyModel(BaseModel):
    """One entry of the platform's answer."""

    value: str | None = Field(alias="Value")
    index: Annotated[int, Field(alias="ModifyIndex", ge=0)]


_ANSWER = TypeAdapter(Annotated[list[_KeyModel], Field(min_length=1, max_length=1)])


async def read_keys(
    address: Endpoint, keys: tuple[str, ...], timeout_s: float
) -> tuple[PlatformOutcome, ...]:
    """Read keys of the platform without waiting for a change."""
    queries = [Query(key, address, f"/v1/kv/{key}") for key in keys]
    replies = await read_all(queries, timeout_s)
    return tuple(_outcome(address, reply) for reply in replies)


def _outcome(address: Endpoint, reply: Reply) -> PlatformOutcome:
    where = f"{address.host}:{address.port}"
    match reply:
        case Answered(label=key, body=body):
            return _decoded(key, body)
        case Rejected(label=key, status=404):
            fault = Fault(key, "", "the platform has no such key", "publish the file first")
            return Unusable((fault,))
        case Rejected(status=status, reason=reason):
            problem = f"the platform answered with HTTP status {status}: {reason}"
            return Unreachable(where, problem, "try again; if it lasts, ask who runs the platform")
        case NotAnswered(reason=reason):
            problem = f"the platform did not answer: {reason}"
            return Unreachable(
                where,
                problem,
                "check the address; reports also take --members FILE, and check takes --against",
            )


def _decoded(key: str, body: bytes) -> Published | Unusable:
    try:
        (entry,) = _ANSWER.validate_json(body)
        content = base64.b64decode(entry.value or "", validate=True)
    except (ValidationError, binascii.Error, json.JSONDecodeError):
        problem = "the platform's answer has an unexpected form"
        remedy = "check that the address is that of the configuration service"
        return Unusable((Fault(key, "", problem, remedy),))
    return Published(key, entry.index, content)
