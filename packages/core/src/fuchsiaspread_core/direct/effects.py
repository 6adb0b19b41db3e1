"""Effects that the direct core returns for the daemon to carry out."""

from dataclasses import dataclass

from ..identifiers import Endpoint, FlowKey, TargetName
from .notices import DirectNotice


@dataclass(frozen=True, slots=True)
class ForwardOpen:
    """Send an open (SYN) to a target, with the cookie that the flow's later packets carry."""

    target: TargetName
    endpoint: Endpoint
    cookie: int
    packet: bytes


@dataclass(frozen=True, slots=True)
class ForwardPacket:
    """Send a caller's packet to the target of its flow."""

    target: TargetName
    endpoint: Endpoint
    packet: bytes


@dataclass(frozen=True, slots=True)
class ResetCaller:
    """Send a reset to a flow's caller; `sequence` is the next byte that the caller expects."""

    flow: FlowKey
    sequence: int


@dataclass(frozen=True, slots=True)
class CheckTarget:
    """Try to connect to a target; the outcome comes back as `TargetChecked`."""

    target: TargetName
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Notify:
    """Pass a notice to the log and the metrics."""

    notice: DirectNotice


@dataclass(frozen=True, slots=True)
class EndProcess:
    """End the process: a requested stop is complete."""


DirectEffect = ForwardOpen | ForwardPacket | ResetCaller | CheckTarget | Notify | EndProcess
