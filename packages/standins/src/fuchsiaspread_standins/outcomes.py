"""Outcomes of flows as seen by the callers."""

from dataclasses import dataclass
from enum import StrEnum

from fuchsiaspread_core.identifiers import Endpoint


class BreakReason(StrEnum):
    """Name the reasons why a flow broke after its handshake.

    `DAMAGED` is a corrupt answer, `CROSSED` an answer to another request, and `STALLED` a missing
    answer to a message of a stream.
    """

    RESET = "reset"
    CLOSED_EARLY = "closed_early"
    DAMAGED = "damaged"
    CROSSED = "crossed"
    STALLED = "stalled"


@dataclass(frozen=True, slots=True)
class Answered:
    """Report a complete answer, or a stream whose answers were all complete."""

    target: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that the open was refused, which guarantees that no target has run the request."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Report a flow that failed after its handshake; a target may have run the request."""

    reason: BreakReason


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Report that no complete answer arrived in time."""

    was_open: bool


Outcome = Answered | NotRun | Broken | TimedOut


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """Report the end of a caller's flow."""

    identifier: str
    address: Endpoint
    is_stream: bool
    elapsed_ms: int
    outcome: Outcome
