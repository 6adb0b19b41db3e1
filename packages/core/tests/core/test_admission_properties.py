"""Property tests of the invariants of admission under random interleavings."""

import unittest

from fuchsiaspread_core.admission import (
    Admit,
    Decision,
    Decline,
    Enqueue,
    OpenFailure,
    OpenRequest,
    Refuse,
    ShardAdmission,
)
from fuchsiaspread_core.configuration import TargetState
from fuchsiaspread_core.identifiers import FlowKey, TargetName
from fuchsiaspread_core.notices import FlowEnd
from hypothesis import given, settings
from hypothesis import strategies as st

from .admission_case import REQUEST, SCREENS, STREAM, flow, target

FLOWS = [flow(n) for n in range(14)] + [flow(n, service=SCREENS) for n in range(4)]
STATES = list(TargetState)
STEPS = st.tuples(
    st.sampled_from("ooooaaafcrrrthd"),
    st.sampled_from(FLOWS),
    st.integers(0, 120),
    st.integers(0, 3),
)


class Model:
    """Track each flow's place by the decisions alone, and check each decision against it."""

    def __init__(self) -> None:
        self.admission = ShardAdmission()
        self.states = dict.fromkeys((1, 2, 3), TargetState.ACTIVE)
        self.places: dict[FlowKey, str] = {}
        self.tried: dict[FlowKey, list[TargetName]] = {}
        self.configure(0)

    def configure(self, now_ms: int) -> None:
        targets = [target(number, state) for number, state in self.states.items()]
        self.apply(self.admission.configure(now_ms, targets))

    def apply(self, decisions: list[Decision]) -> None:
        """Check and apply decisions; none of them may concern an accepted flow."""
        for decision in decisions:
            match decision:
                case Admit(flow=key, target=name):
                    assert self.places[key] in ("new", "queued", "opening")
                    assert name not in self.tried[key], "the same target was tried twice"
                    assert self.states[int(name[-1])] is TargetState.ACTIVE
                    self.tried[key].append(name)
                    self.places[key] = "opening"
                case Enqueue(flow=key):
                    assert self.places[key] in ("new", "opening")
                    self.places[key] = "queued"
                case Decline(flow=key) | Refuse(flow=key):
                    assert self.places[key] in ("new", "queued", "opening")
                    del self.places[key]

    def step(self, now_ms: int, code: str, key: FlowKey, number: int) -> None:
        admission = self.admission
        if code == "o" and key not in self.places:
            self.places[key], self.tried[key] = "new", []
            kind = STREAM if key in FLOWS[14:] else REQUEST
            request = OpenRequest(key, 1, kind, may_spill=number == 0, may_respill=number == 1)
            self.apply([admission.offer(now_ms, request)])
        elif code == "a" and self.places.get(key) == "opening":
            self.places[key] = "accepted"
            self.apply(admission.accept(now_ms, key))
        elif code == "f":
            failure = OpenFailure.RESET if number else OpenFailure.SILENT
            self.apply(admission.handle_open_failure(now_ms, key, failure))
        elif code == "c" and key in self.places:
            self.cancel(now_ms, key)
        elif code == "r" and self.places.get(key) in ("accepted", "cancelled"):
            del self.places[key]
            end = FlowEnd.ANSWERED if number else FlowEnd.RESET_BY_TARGET
            self.apply(admission.release(now_ms, key, end))
        elif code == "h":
            admission.report_load(now_ms, TargetName(f"desk-{max(1, number)}"), number, number > 2)
        elif code == "d":
            self.states[max(1, number)] = STATES[now_ms % 2]
            self.configure(now_ms)
        self.apply(admission.tick(now_ms))

    def cancel(self, now_ms: int, key: FlowKey) -> None:
        is_held = self.places[key] in ("accepted", "cancelled") and key not in FLOWS[14:]
        self.places.pop(key)
        if is_held:
            self.places[key] = "cancelled"
        self.apply(self.admission.cancel(now_ms, key))

    def check(self, now_ms: int) -> None:
        """Compare the counts of the admission with those of this model."""
        for key in FLOWS:
            place = self.places.get(key)
            if place != "cancelled":
                assert self.admission.is_managed(key) == (place is not None), (key, place)
        queued = sum(place == "queued" for place in self.places.values())
        assert self.admission.queued_count == queued
        counted = sum(place in ("opening", "accepted") for place in self.places.values())
        held = sum(place == "cancelled" for place in self.places.values())
        summaries = self.admission.summaries(now_ms)
        busy = sum(summary.busy_slots + summary.connections for summary in summaries)
        assert counted <= busy <= counted + held, (counted, busy, held)
        assert all(0 <= summary.busy_slots <= 3 for summary in summaries)


class AdmissionProperties(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(st.lists(STEPS, max_size=120))
    def test_counts_places_and_decisions_agree(self, steps) -> None:
        """Guards against slots counted wrongly, accepted flows moved and targets tried twice."""
        model, now_ms = Model(), 0
        for code, key, pause_ms, number in steps:
            now_ms += pause_ms
            model.step(now_ms, code, key, number)
            model.check(now_ms)


if __name__ == "__main__":
    unittest.main()
