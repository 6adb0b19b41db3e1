"""URLs and responses of Consul's key-value API."""

import base64
import binascii
from dataclasses import dataclass
from typing import Annotated

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

# The platform limits values to one megabyte.
MAX_VALUE_BYTES = 1024 * 1024
# Base64 enlarges the value by a third; the rest of a response is small.
MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
INDEX_HEADER = "X-Consul-Index"
MAX_INDEX = 2**63 - 1


@dataclass(frozen=True, slots=True)
class Published:
    """Hold a key's value, the index of its last change and the index for the next watch."""

    content: bytes
    index: int
    watch_index: int


@dataclass(frozen=True, slots=True)
class Missing:
    """Report that the platform has no value for a key."""

    watch_index: int


@dataclass(frozen=True, slots=True)
class BadAnswer:
    """Report that a call failed or its response does not conform to the API."""

    cause: str


class _PairModel(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    value: Annotated[str | None, Field(alias="Value")]
    modify_index: Annotated[int, Field(alias="ModifyIndex", ge=1, le=MAX_INDEX)]


_PAIRS = TypeAdapter(list[_PairModel])


def watch_url(platform: Endpoint, key: str, watch_index: int, wait_s: int) -> str:
    """Return the URL of a blocking query, or of a plain one when the index is 0."""
    url = f"http://{platform.host}:{platform.port}/v1/kv/{key}"
    return f"{url}?index={watch_index}&wait={wait_s}s" if watch_index else url


def decode_answer(status: int, index_text: str, body: bytes) -> Published | Missing | BadAnswer:
    """Decode a response; `index_text` is the value of the index header."""
    if status not in (200, 404):
        return BadAnswer(f"HTTP status {status}")
    if not (index_text.isascii() and index_text.isdigit() and len(index_text) < 20):
        return BadAnswer(f"no usable {INDEX_HEADER} header")
    watch_index = int(index_text)
    if status == 404:
        return Missing(watch_index)
    try:
        pairs = _PAIRS.validate_json(body)
    except ValidationError as error:
        return BadAnswer(f"unexpected body: {error.error_count()} validation errors")
    if len(pairs) != 1:
        return BadAnswer(f"{len(pairs)} key-value pairs instead of one")
    try:
        content = base64.b64decode(pairs[0].value or "", validate=True)
    except (binascii.Error, ValueError):
        return BadAnswer("the value is not valid Base64")
    if len(content) > MAX_VALUE_BYTES:
        return BadAnswer("the value is larger than one megabyte")
    return Published(content, pairs[0].modify_index, watch_index)


def next_watch_index(current: int, answered: int) -> int:
    """Return the index for the next watch: 0 if the index went backwards, as Consul requires."""
    return answered if answered >= max(current, 1) else 0
