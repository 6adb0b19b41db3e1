"""Tests of single decisions of one entry core that the fleet tests cover only by chance."""

import unittest

from fuchsiaspread_core.configuration import (
    Configuration,
    Objective,
    RequestKind,
    Revision,
    Service,
    ServiceAddress,
    Target,
    TargetState,
)
from fuchsiaspread_core.control import Probe
from fuchsiaspread_core.effects import SendToCaller, SendToTarget
from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    ControlReceived,
    MembersPublished,
    PartPublished,
    TargetAccept,
    TargetReset,
)
from fuchsiaspread_core.identifiers import (
    Endpoint,
    EntryName,
    ServiceName,
    TargetName,
    ZoneName,
    flow_key,
)
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Part, PartName

ZONE = ZoneName("occidente-a")
SERVICE = Endpoint("10.20.0.1", 7002)
TUNNEL = Endpoint("127.0.2.1", 6080)
FLOW = flow_key(Endpoint("10.30.0.1", 40000), SERVICE)
TOKEN, NEW_TOKEN = 100, 2_000_000_000


def compiled(base: Part, overlay: Part) -> Configuration:
    """Return a configuration with one target, for any parts."""
    target = Target(TargetName("desk-1"), TUNNEL, ZONE, 1, TargetState.ACTIVE, 3, 100)
    address = ServiceAddress(SERVICE, RequestKind(2000, repeatable=False))
    objective = Objective(0.999, 0.99, 3600)
    service = Service(ServiceName("order-desk"), (address,), (target,), objective)
    return Configuration("occidente", Revision(base.index, overlay.index), (service,))


class EntryTest(unittest.TestCase):
    def setUp(self) -> None:
        member = Member(EntryName("entry-1"), ZONE, Endpoint("127.0.1.1", 1), Endpoint("", 2))
        self.core = EntryCore(member, (), compiled, seed=1)
        for name in PartName:
            self.core.handle(0, PartPublished(Part(name, 1, b"")))
        self.core.handle(0, CallerOpen(FLOW, 7, b"open"))
        self.core.handle(1, TargetAccept(FLOW, TOKEN, 8, TUNNEL.host, b"accept"))

    def test_second_accept_of_a_restarted_target_replaces_the_token(self) -> None:
        """Guards against dropping all packets of a caller that received only the second SYN-ACK."""
        accept = TargetAccept(FLOW, NEW_TOKEN, 8, TUNNEL.host, b"accept again")
        self.assertIn(SendToCaller(b"accept again"), self.core.handle(2, accept))
        data = CallerData(FLOW, NEW_TOKEN + 1, b"data")
        self.assertEqual(self.core.handle(3, data), [SendToTarget(TUNNEL, b"data")])

    def test_packet_bound_to_another_token_does_not_reach_the_target(self) -> None:
        """Guards against a reset from a target that does not know the caller's connection."""
        data = CallerData(FLOW, NEW_TOKEN + 1, b"data")
        self.assertNotIn(SendToTarget(TUNNEL, b"data"), self.core.handle(2, data))

    def test_member_without_configuration_manages_nothing(self) -> None:
        """Guards against relaying opens to an entry VM that has no configuration and drops them."""
        other = Member(EntryName("entry-2"), ZONE, Endpoint("127.0.1.2", 1), Endpoint("", 2))
        self.core.handle(10, MembersPublished((other,)))
        self.assertEqual(self.managers(), {EntryName("entry-1"), EntryName("entry-2")})
        for revision, expected in ((Revision(0, 0), 1), (Revision(1, 1), 2)):
            probe = Probe(1, revision, (other,))
            self.core.handle(11, ControlReceived(other.name, probe))
            self.assertEqual(len(self.managers()), expected)

    def managers(self) -> set[EntryName]:
        """Return the manager and backup of the only shard."""
        explained = self.core.explain_flow(FLOW)
        return {name for name in (explained.manager, explained.backup) if name is not None}

    def test_stray_reset_does_not_reach_the_caller(self) -> None:
        """Guards against ending a flow by a reset that answers a packet bound to another target."""
        stray = TargetReset(FLOW, NEW_TOKEN, TUNNEL.host, b"reset")
        self.assertNotIn(SendToCaller(b"reset"), self.core.handle(2, stray))
        own = TargetReset(FLOW, TOKEN + 1, TUNNEL.host, b"reset")
        self.assertIn(SendToCaller(b"reset"), self.core.handle(3, own))


if __name__ == "__main__":
    unittest.main()
