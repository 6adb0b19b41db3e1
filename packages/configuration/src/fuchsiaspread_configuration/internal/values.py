"""Validated kinds of values that the files share."""

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
    """Refuse unknown keys and values of another type in every file."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _fault(problem: str) -> PydanticCustomError:
    return PydanticCustomError("fuchsiaspread", "{problem}", {"problem": problem})


def parse_endpoint(value: Any) -> Endpoint:
    """Return the endpoint that a text names.

    Errors: `PydanticCustomError`, which pydantic collects with the other faults of a file.
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
        raise _fault("the part before the port is no IPv4 address") from None
    if address.is_unspecified or address.is_multicast or address == IPv4Address("255.255.255.255"):
        raise _fault("the address must name a single host")
    return Endpoint(host, int(port))


def parse_endpoint_text(text: str) -> Endpoint | None:
    """Return the endpoint that a text names, or None when it names none."""
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
# A share of exactly one leaves no error budget to measure against.
Share = Annotated[float, Field(gt=0, lt=1)]
