"""Builders and a base class for the tests of admission."""

import unittest

from fuchsiaspread_core.admission import (
    Admit,
    Decision,
    Inform,
    OpenRequest,
    Refuse,
    ShardAdmission,
)
from fuchsiaspread_core.configuration import (
    AddressKind,
    RequestKind,
    StreamKind,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import Endpoint, FlowKey, TargetName, ZoneName, flow_key
from fuchsiaspread_core.internal.target_load import TargetCondition
from fuchsiaspread_core.notices import FlowEnd

REQUEST = RequestKind(deadline_ms=2000, repeatable=False)
STREAM = StreamKind(open_deadline_ms=2000)
JOB_CARDS = Endpoint("10.20.0.1", 7002)
SCREENS = Endpoint("10.20.0.1", 7001)


def target(number: int, state: TargetState = TargetState.ACTIVE, slots: int = 3) -> Target:
    """Return a target of the shard under test."""
    tunnel = Endpoint(f"127.0.2.{number}", 6080)
    name = TargetName(f"desk-{number}")
    return Target(name, tunnel, ZoneName("occidente-a"), 1, state, slots, 2000)


def flow(number: int, network: int = 1, service: Endpoint = JOB_CARDS) -> FlowKey:
    """Return a flow key from a caller network."""
    return flow_key(Endpoint(f"10.1.{network}.7", 1024 + number), service)


class AdmissionCase(unittest.TestCase):
    """Base class that drives the admission of one shard with injected time."""

    def shard(self, target_count: int, slots: int = 3) -> ShardAdmission:
        """Return the admission of a shard with active targets."""
        admission = ShardAdmission()
        admission.configure(0, [target(n, slots=slots) for n in range(1, target_count + 1)])
        return admission

    def offer(
        self,
        admission: ShardAdmission,
        now_ms: int,
        key: FlowKey,
        kind: AddressKind = REQUEST,
        may_spill: bool = False,
    ) -> Decision:
        """Offer an open with caller token 1."""
        return admission.offer(now_ms, OpenRequest(key, 1, kind, may_spill))

    def admitted(self, admission: ShardAdmission, now_ms: int, key: FlowKey, **more) -> TargetName:
        """Offer an open, check that it is admitted, and return its target."""
        decision = self.offer(admission, now_ms, key, **more)
        self.assertIsInstance(decision, Admit)
        return decision.target

    def serve(
        self, admission: ShardAdmission, now_ms: int, key: FlowKey, service_ms: int
    ) -> TargetName:
        """Run one request from offer to answer, with the ticks in between."""
        name = self.admitted(admission, now_ms, key)
        admission.accept(now_ms, key)
        for tick_ms in range(now_ms, now_ms + service_ms, 20):
            admission.tick(tick_ms)
        admission.release(now_ms + service_ms, key, FlowEnd.ANSWERED)
        return name

    def busy(self, admission: ShardAdmission, now_ms: int = 0) -> dict[TargetName, int]:
        """Return the number of busy slots of each target."""
        return {summary.name: summary.busy_slots for summary in admission.summaries(now_ms)}

    def conditions(self, admission: ShardAdmission, now_ms: int) -> dict[str, TargetCondition]:
        """Return the condition of each target."""
        return {s.name: s.condition for s in admission.summaries(now_ms)}

    def only(self, decisions: list[Decision]) -> Admit | Refuse:
        """Return the only decision apart from notices."""
        rest = [decision for decision in decisions if not isinstance(decision, Inform)]
        self.assertEqual(len(rest), 1, rest)
        return rest[0]
