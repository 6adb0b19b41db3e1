"""The mailboxes of all tasks of a daemon."""

from dataclasses import dataclass, field

from .mailbox import Mailbox
from .task_messages import (
    AdminMessage,
    CoreMessage,
    FabricMessage,
    LoadEndpointsChanged,
    PeerServiceMessage,
    PeerTaskMessage,
    RefreshAsked,
)

# Limit of the messages in a mailbox of a task that handles packets. A message with received packets
# covers up to 64 datagrams; a longer queue would add delay instead of throughput.
PACKET_MAILBOX_LIMIT = 512
MESSAGE_LIMIT = 4096


@dataclass(frozen=True, slots=True)
class Mailboxes:
    """Hold one mailbox for each task that receives messages."""

    core: Mailbox[CoreMessage] = field(default_factory=lambda: Mailbox(PACKET_MAILBOX_LIMIT))
    fabric: Mailbox[FabricMessage] = field(default_factory=lambda: Mailbox(PACKET_MAILBOX_LIMIT))
    peer: Mailbox[PeerTaskMessage] = field(default_factory=lambda: Mailbox(PACKET_MAILBOX_LIMIT))
    peer_service: Mailbox[PeerServiceMessage] = field(
        default_factory=lambda: Mailbox(MESSAGE_LIMIT)
    )
    load: Mailbox[LoadEndpointsChanged] = field(default_factory=lambda: Mailbox(MESSAGE_LIMIT))
    platform: Mailbox[RefreshAsked] = field(default_factory=lambda: Mailbox(MESSAGE_LIMIT))
    admin: Mailbox[AdminMessage] = field(default_factory=lambda: Mailbox(MESSAGE_LIMIT))
