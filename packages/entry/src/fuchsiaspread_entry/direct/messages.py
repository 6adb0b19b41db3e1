"""Messages between the tasks of the direct daemon, and their mailboxes."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from fuchsiaspread_core.direct import CheckTarget, DirectEffect, DirectEvent

from ..internal.mailbox import Mailbox
from .direct_counts import DirectCounts

# About a second of packets at full rate; later ones would be too late for their callers.
MAILBOX_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class EventsReceived:
    """Hand events to the core task."""

    events: Sequence[DirectEvent]


@dataclass(frozen=True, slots=True)
class CountsAsked:
    """Ask the core task for a copy of its counts."""

    reply: asyncio.Future[DirectCounts]


CoreMessage = EventsReceived | CountsAsked


@dataclass(frozen=True, slots=True)
class PacketsReady:
    """Hand effects that send packets to the packet task."""

    effects: Sequence[DirectEffect]


@dataclass(frozen=True, slots=True)
class CheckAsked:
    """Ask the check task to connect to a target."""

    check: CheckTarget


@dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """Tell the readiness task what to answer."""

    is_ready: bool


def _mailbox() -> Mailbox:
    return Mailbox(MAILBOX_LIMIT)


@dataclass(frozen=True, slots=True)
class DirectMailboxes:
    """Hold one mailbox for each task of the daemon."""

    core: Mailbox[CoreMessage] = field(default_factory=_mailbox)
    packets: Mailbox[PacketsReady] = field(default_factory=_mailbox)
    checks: Mailbox[CheckAsked] = field(default_factory=_mailbox)
    readiness: Mailbox[ReadinessChanged] = field(default_factory=_mailbox)
