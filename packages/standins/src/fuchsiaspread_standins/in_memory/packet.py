"""Packets of the in-memory fleet.

A token is the initial sequence number that one side of a connection has chosen.
"""

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


class CallerPacketKind(IntEnum):
    """Name the kinds of packets that a caller sends."""

    OPEN = 0
    DATA = 1
    RESET = 2


class TargetPacketKind(IntEnum):
    """Name the kinds of packets that a target sends."""

    ACCEPT = 0
    DATA = 1
    CLOSE = 2
    RESET = 3


@dataclass(frozen=True, slots=True)
class CallerPacket:
    """Hold a packet from a caller; `service` is the service that the caller intends to reach."""

    kind: CallerPacketKind
    flow: FlowKey
    service: str
    caller_token: int
    ack_number: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class TargetPacket:
    """Hold a packet from a target; `ack_number` refers to the caller's token or packet number."""

    kind: TargetPacketKind
    flow: FlowKey
    target_token: int
    ack_number: int
    number: int = 0

    @classmethod
    def refusal(cls, flow: FlowKey, caller_token: int) -> "TargetPacket":
        """Return the reset that an entry VM sends to refuse an open as not run."""
        return cls(TargetPacketKind.RESET, flow, 0, (caller_token + 1) % TOKEN_RANGE)


def to_event(
    packet: CallerPacket | TargetPacket, source_host: str, relay: Relay | None
) -> PacketEvent:
    """Return the event of the core for a received packet."""
    flow = packet.flow
    match packet:
        case CallerPacket(kind=CallerPacketKind.OPEN):
            return CallerOpen(flow, packet.caller_token, packet, relay)
        case CallerPacket(kind=CallerPacketKind.DATA):
            return CallerData(flow, packet.ack_number, packet, relay)
        case CallerPacket():
            return CallerReset(flow, packet, relay)
        case TargetPacket(kind=TargetPacketKind.ACCEPT):
            token = packet.target_token
            return TargetAccept(flow, token, packet.ack_number, source_host, packet, relay)
        case TargetPacket(kind=TargetPacketKind.DATA):
            return TargetData(flow, source_host, packet, relay)
        case TargetPacket(kind=TargetPacketKind.CLOSE):
            return TargetClose(flow, source_host, packet, relay)
        case TargetPacket():
            sequence = packet.target_token
            return TargetReset(flow, sequence, source_host, packet, relay)
