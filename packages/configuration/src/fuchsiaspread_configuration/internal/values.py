"""Validated value types that the configuration files share."""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel, ConfigDict, Field, PlainValidator, StringConstraints, WithJsonSchema
from pydantic_core import PydanticCustomError

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
ENDPOINT_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:[1-9]\d{0,4}$"
ENDPOINT_REMEDY = 'write an IPv4 address and a port in quotes, such as "10.20.0.1:7001"'


class FileModel(BaseModel):
    """Base of all models: rejects unknown keys and values of another type."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _fault(problem: str) -> PydanticCustomError:
    return PydanticCustomError("fuchsiaspread", "{problem}", {"problem": problem})


def parse_endpoint(value: Any) -> Endpoint:
    """Parse an endpoint.

    Raises `PydanticCustomError`, which pydantic collects with the other errors of a file.
    """
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise _fault("expected text such as 10.20.0.1:7001")
    host, _, port = value.rpartition(":")
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65535:
        raise _fault("the port must be a whole number from 1 to 65535")
    try:
        address = IPv4Address(host)
    except AddressValueError:
        raise _fault("the part before the port is not an IPv4 address") from None
    if address.is_unspecified or address.is_multicast or address == IPv4Address("255.255.255.255"):
        raise _fault("the address must name a single host")
    return Endpoint(host, int(port))


def parse_endpoint_text(text: str) -> Endpoint | None:
    """Parse an endpoint; return None when the text is not a valid endpoint."""
    try:
        return parse_endpoint(text.strip())
    except PydanticCustomError:
        return None


Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
EndpointText = Annotated[
    Endpoint,
    PlainValidator(parse_endpoint),
    WithJsonSchema({"type": "string", "pattern": ENDPOINT_PATTERN}),
]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
# A share of exactly one would leave no error budget to measure against.
Share = Annotated[float, Field(gt=0, lt=1)]
