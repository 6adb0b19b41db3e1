"""Messages between the tasks of the direct daemon, and their mailboxes."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from fuchsiaspread_core.direct import CheckTarget, DirectEffect, DirectEvent

from ..internal.mailbox import Mailbox
from .direct_counts import DirectCounts

# In packets: about one second of them at full rate. Beyond that they would reach their targets too
# late.
MAILBOX_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class EventsReceived:
    """Pass events to the core task."""

    events: Sequence[DirectEvent]


@dataclass(frozen=True, slots=True)
class CountsAsked:
    """Request a copy of the core task's counters."""

    reply: asyncio.Future[DirectCounts]


CoreMessage = EventsReceived | CountsAsked


@dataclass(frozen=True, slots=True)
class PacketsReady:
    """Pass effects that send packets to the packet task."""

    effects: Sequence[DirectEffect]


@dataclass(frozen=True, slots=True)
class CheckAsked:
    """Request a connection check of a target."""

    check: CheckTarget


@dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """Report the new readiness to the readiness task."""

    is_ready: bool


def _mailbox() -> Mailbox:
    return Mailbox(MAILBOX_LIMIT)


@dataclass(frozen=True, slots=True)
class DirectMailboxes:
    """The mailboxes of the daemon's tasks."""

    core: Mailbox[CoreMessage] = field(default_factory=_mailbox)
    packets: Mailbox[PacketsReady] = field(default_factory=_mailbox)
    checks: Mailbox[CheckAsked] = field(default_factory=_mailbox)
    readiness: Mailbox[ReadinessChanged] = field(default_factory=_mailbox)
