"""Entry VMs as members of a fleet."""

from dataclasses import dataclass
from enum import IntEnum

from .identifiers import Endpoint, EntryName, ZoneName


class MemberState(IntEnum):
    """State of an entry VM as another one sees it; at equal incarnation the higher value wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Describe an entry VM; `peer` receives datagrams, `control` receives gRPC calls."""

    name: EntryName
    zone: ZoneName
    peer: Endpoint
    control: Endpoint
    incarnation: int = 0
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Report the live members, sorted by name; suspected members count as live."""

    live: tuple[Member, ...]
