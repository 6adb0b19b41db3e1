"""Decisions for flows whose targets answer callers directly (direct server return)."""

from .core import DirectCore
from .effects import DirectEffect, ForwardOpen, ForwardPacket, Notify, ResetCaller
from .events import (
    DirectEvent,
    FlowPacket,
    OpenPacket,
    RoutesPublished,
    StopRequested,
    StoreReached,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    Tick,
)
from .routes import Destination, Route, RouteKind, RouteSet
from .targets import PublishedTarget, TargetPhase

__all__ = [
    "Destination",
    "DirectCore",
    "DirectEffect",
    "DirectEvent",
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
    "TargetPhase",
    "TargetPublished",
    "TargetRemoved",
    "TargetsListed",
    "Tick",
]
