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
    TargetWithdrawn,
    Tick,
)
from .known_target import PublishedTarget, TargetPhase
from .routes import Destination, Route, RouteKind, RouteSet

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
    "TargetWithdrawn",
    "TargetsListed",
    "Tick",
]
