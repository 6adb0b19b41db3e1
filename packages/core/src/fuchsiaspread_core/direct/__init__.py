"""Load balancing of flows whose targets answer callers directly (direct server return)."""

from .core import DirectCore
from .effects import (
    CheckTarget,
    DirectEffect,
    EndProcess,
    ForwardOpen,
    ForwardPacket,
    Notify,
    ResetCaller,
)
from .events import (
    CheckOutcome,
    DirectEvent,
    FlowPacket,
    OpenPacket,
    RoutesPublished,
    StopRequested,
    StoreReached,
    TargetChecked,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    Tick,
)
from .routes import Destination, Route, RouteKind, RouteSet
from .targets import PublishedTarget, TargetPhase

__all__ = [
    "CheckOutcome",
    "CheckTarget",
    "Destination",
    "DirectCore",
    "DirectEffect",
    "DirectEvent",
    "EndProcess",
    "FlowPacket",
    "ForwardOpen",
    "ForwardPacket",
    "Notify",
    "OpenPacket",
    "PublishedTarget",
    "ResetCaller",
    "Route",
    "RouteKind",
    "RouteSet",
    "RoutesPublished",
    "StopRequested",
    "StoreReached",
    "TargetChecked",
    "TargetPhase",
    "TargetPublished",
    "TargetRemoved",
    "TargetsListed",
    "Tick",
]
