"""Data model of a site's merged configuration."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .identifiers import Endpoint, ServiceName, TargetName, ZoneName


class Revision(NamedTuple):
    """The platform's indexes of the base file and the overlay; each of them only increases."""

    base: int
    overlay: int


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of an address whose flows are requests; each open request uses a slot."""

    deadline_ms: int
    repeatable: bool


@dataclass(frozen=True, slots=True)
class StreamKind:
    """Kind of an address whose flows are long streams; each open stream uses a connection."""

    open_deadline_ms: int


AddressKind = RequestKind | StreamKind


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """Describe one address of a service and the kind of its flows."""

    endpoint: Endpoint
    kind: AddressKind


class TargetState(StrEnum):
    """Whether a target may receive new work."""

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
    """Service level objective that the burn-rate report measures against."""

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
