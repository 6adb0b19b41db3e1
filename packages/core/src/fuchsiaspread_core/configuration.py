"""The configuration of a site as the core uses it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .identifiers import Endpoint, ServiceName, TargetName, ZoneName


class Revision(NamedTuple):
    """Pair the platform's indexes of base file and overlay; each part moves only forward."""

    base: int
    overlay: int


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe an address whose flows are requests; each one uses a slot."""

    deadline_ms: int
    repeatable: bool


@dataclass(frozen=True, slots=True)
class StreamKind:
    """Describe an address whose flows are long streams; each one uses a connection."""

    open_deadline_ms: int


AddressKind = RequestKind | StreamKind


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """Name one address of a service and the kind of its flows."""

    endpoint: Endpoint
    kind: AddressKind


class TargetState(StrEnum):
    """Tell whether a target may receive new work."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Target:
    """Describe a host that serves the flows of one service."""

    name: TargetName
    tunnel: Endpoint
    zone: ZoneName
    weight: int
    state: TargetState
    slots: int
    connections: int
    load_endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class Objective:
    """State the service level that the burn report measures against."""

    unbroken_share: float
    in_time_share: float
    period_s: int


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service, its addresses and its targets."""

    name: ServiceName
    addresses: tuple[ServiceAddress, ...]
    targets: tuple[Target, ...]
    objective: Objective


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold the merged configuration of one site at one revision."""

    site: str
    revision: Revision
    services: tuple[Service, ...]
