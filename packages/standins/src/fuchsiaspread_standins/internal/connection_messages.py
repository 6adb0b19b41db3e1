"""Events that a connection takes and outputs that it returns."""

from dataclasses import dataclass

from .segments import Segment


@dataclass(frozen=True, slots=True)
class Connect:
    """Open the connection."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """Report a segment from the peer."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Write:
    """Send data to the peer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """End the own side once all data is sent."""


@dataclass(frozen=True, slots=True)
class Abort:
    """Give the connection up with a reset."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Report that the time in `timer_ms` was reached."""


Event = Connect | Arrived | Write | Close | Abort | TimerExpired


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send a segment to the peer."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Opened:
    """Report that the handshake is complete."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """Hand received data to the application, in order."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PeerClosed:
    """Report that the peer ended its side."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the open was refused by a reset that acknowledges the SYN."""


@dataclass(frozen=True, slots=True)
class WasReset:
    """Report that the peer reset the connection."""


@dataclass(frozen=True, slots=True)
class GaveUp:
    """Report that the peer did not answer any retransmission."""


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that both sides ended."""


Output = Transmit | Opened | Delivered | PeerClosed | Refused | WasReset | GaveUp | Finished
