"""Packets of the in-memory fleet."""

from dataclasses import dataclass
from enum import IntEnum

from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    CallerReset,
    PacketEvent,
    TargetAccept,
    TargetClose,
    TargetData,
    TargetReset,
)
from fuchsiaspread_core.identifiers import FlowKey
from fuchsiaspread_core.relay import Relay

TOKEN_RANGE = 2**32


class CallerSignal(IntEnum):
    """Name the sorts of packets of a caller."""

    OPEN = 0
    DATA = 1
    RESET = 2


class TargetSignal(IntEnum):
    """Name the sorts of packets of a target."""

    ACCEPT = 0
    DATA = 1
    CLOSE = 2
    RESET = 3


@dataclass(frozen=True, slots=True)
class CallerPacket:
    """Hold a caller's packet; `service` is what the caller means to reach."""

    signal: CallerSignal
    flow: FlowKey
    service: str
    caller_token: int
    acknowledges: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class TargetPacket:
    """Hold a target's packet; `acknowledges` names the caller's token or packet number."""

    signal: TargetSignal
    flow: FlowKey
    target_token: int
    acknowledges: int
    number: int = 0

    @classmethod
    def refusal(cls, flow: FlowKey, caller_token: int) -> "TargetPacket":
        """Return the reset with which an entry VM answers an open as not run."""
        return cls(TargetSignal.RESET, flow, 0, (caller_token + 1) % TOKEN_RANGE)


def to_event(
    packet: CallerPacket | TargetPacket, source_host: str, relay: Relay | None
) -> PacketEvent:
    """Return the core's event for a packet."""
    flow = packet.flow
    match packet:
        case CallerPacket(signal=CallerSignal.OPEN):
            return CallerOpen(flow, packet.caller_token, packet, relay)
        case CallerPacket(signal=CallerSignal.DATA):
            return CallerData(flow, packet.acknowledges, packet, relay)
        case CallerPacket():
            return CallerReset(flow, packet, relay)
        case TargetPacket(signal=TargetSignal.ACCEPT):
            token = packet.target_token
            return TargetAccept(flow, token, packet.acknowledges, source_host, packet, relay)
        case TargetPacket(signal=TargetSignal.DATA):
            return TargetData(flow, source_host, packet, relay)
        case TargetPacket(signal=TargetSignal.CLOSE):
            return TargetClose(flow, source_host, packet, relay)
        case TargetPacket():
            sequence = packet.target_token
            return TargetReset(flow, sequence, source_host, packet, relay)
