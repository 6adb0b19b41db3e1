"""Pydantic models of the merged base file and overlay."""

from typing import Annotated, Literal

from pydantic import Field

from .internal.values import EndpointText, FileModel, Milliseconds, Name, Share

Slots = Annotated[int, Field(ge=1, le=10_000, description="requests that run at one time")]
Connections = Annotated[int, Field(ge=1, le=1_000_000, description="open streams")]
Weight = Annotated[int, Field(ge=1, le=1_000, description="share of work against other targets")]
TargetStateText = Literal["active", "draining"]
PeriodDays = Annotated[int, Field(ge=1, le=90)]


class ObjectiveModel(FileModel):
    """Service level that the burn report measures against."""

    unbroken_share: Share = 0.9999
    in_time_share: Share = 0.99
    period_days: PeriodDays = 30


class StreamAddressModel(FileModel):
    """Address whose flows are long streams; each uses a connection of a target."""

    name: Name
    address: EndpointText
    kind: Literal["stream"]
    open_deadline_ms: Milliseconds = 2_000


class RequestAddressModel(FileModel):
    """Address whose flows are requests; each uses a slot of a target."""

    name: Name
    address: EndpointText
    kind: Literal["request"]
    deadline_ms: Milliseconds
    repeatable: bool = False


AddressModel = Annotated[StreamAddressModel | RequestAddressModel, Field(discriminator="kind")]


class TargetModel(FileModel):
    """Host that serves the flows of one service."""

    name: Name
    tunnel: EndpointText
    zone: Name
    weight: Weight = 1
    state: TargetStateText = "active"
    load: EndpointText | None = None
    slots: Slots | None = None
    connections: Connections | None = None


class ServiceModel(FileModel):
    """Service with its addresses and targets."""

    name: Name
    slots: Slots | None = None
    connections: Connections | None = None
    objective: ObjectiveModel = ObjectiveModel()
    addresses: list[AddressModel] = Field(min_length=1)
    targets: list[TargetModel] = Field(min_length=1)


class SiteModel(FileModel):
    """Merge of a base file and the overlay of one site."""

    site: Name | None = None
    sites: list[Name] | None = None
    services: list[ServiceModel] = Field(min_length=1)
