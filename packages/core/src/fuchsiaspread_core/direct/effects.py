"""Effects that the direct core returns for the shell to carry out."""

from dataclasses import dataclass

from ..identifiers import Endpoint, FlowKey, TargetName
from .notices import DirectNotice


@dataclass(frozen=True, slots=True)
class ForwardOpen:
    """Send an open to a target with the cookie that the flow's later packets return."""

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
    """Reset a flow towards its caller; `sequence` is the next byte that the caller expects."""

    flow: FlowKey
    sequence: int


@dataclass(frozen=True, slots=True)
class CheckTarget:
    """Try to connect to a target; the answer is `TargetChecked`."""

    target: TargetName
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Notify:
    """Report something to logs and counters."""

    notice: DirectNotice


DirectEffect = ForwardOpen | ForwardPacket | ResetCaller | CheckTarget | Notify
