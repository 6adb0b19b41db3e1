"""Input events and outputs of a `Connection`."""

from dataclasses import dataclass

from .segments import Segment


@dataclass(frozen=True, slots=True)
class Connect:
    """Open the connection."""


@dataclass(frozen=True, slots=True)
class SegmentReceived:
    """Report a segment from the peer."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Write:
    """Send data to the peer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close the local side once all data is sent."""


@dataclass(frozen=True, slots=True)
class Abort:
    """Abort the connection with a reset."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Report that the time in `Connection.timer_ms` was reached."""


Event = Connect | SegmentReceived | Write | Close | Abort | TimerExpired


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send a segment to the peer."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Opened:
    """Report that the handshake is complete."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """Deliver received data to the application, in order."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PeerClosed:
    """Report that the peer closed its side."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that a reset that acknowledges the SYN refused the open."""


@dataclass(frozen=True, slots=True)
class WasReset:
    """Report that the peer reset the connection."""


@dataclass(frozen=True, slots=True)
class RetriesExhausted:
    """Report that the peer answered none of the retransmissions."""


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that both sides are closed."""


Output = (
    Transmit | Opened | Delivered | PeerClosed | Refused | WasReset | RetriesExhausted | Finished
)
