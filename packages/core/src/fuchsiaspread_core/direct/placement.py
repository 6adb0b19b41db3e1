"""Choice of a target for a new flow."""

from collections.abc import Collection

from ..identifiers import FlowKey, TargetName, ZoneName
from ..rendezvous import rank
from .known_target import AddressClaim, KnownTarget
from .targets import TargetDirectory

# Load of an open flow without a request, as a fraction of a request in progress: long-lived flows
# send a request every few seconds.
OPEN_FLOW_LOAD = 0.02


class Placement:
    """Choose the target with the least load, as far as this entry VM can see it."""

    def __init__(self, targets: TargetDirectory, salt: bytes) -> None:
        self._targets = targets
        self._salt = salt

    def choose(
        self,
        now_ms: int,
        flow: FlowKey,
        candidates: Collection[KnownTarget],
        tried: Collection[TargetName] = (),
        avoided_zones: Collection[ZoneName] = (),
        lost_zones: Collection[ZoneName] = (),
    ) -> KnownTarget | None:
        """Return the target for an open, or None.

        Suspect targets, and those whose address another entry names too, are a last resort.

        Targets in `lost_zones` count as unreachable; those in `avoided_zones` are the second choice
        among the reachable ones.
        """
        usable = [
            known
            for known in candidates
            if known.name not in tried
            and known.accepts_new_flows(now_ms)
            and self._targets.has_own_numbers(known)
        ]
        if not usable:
            return None
        connected = [known for known in usable if not known.reachability.is_unreachable] or usable
        reachable = [
            known for known in connected if known.published.zone not in lost_zones
        ] or connected
        preferred = [known for known in reachable if _is_preferred(now_ms, known)] or reachable
        elsewhere = [known for known in preferred if known.published.zone not in avoided_zones]
        loads = [(self.load(now_ms, known), known) for known in elsewhere or preferred]
        least = min(load for load, _ in loads)
        tied = {known.name: known for load, known in loads if load == least}
        return tied[rank(self._salt + flow, tied)[0]]

    def load(self, now_ms: int, known: KnownTarget) -> float:
        """Return the load of a target after one more open, in requests per slot."""
        busy = known.busy_requests + 1
        return (busy + OPEN_FLOW_LOAD * known.open_flows) / known.capacity(now_ms)


def _is_preferred(now_ms: int, known: KnownTarget) -> bool:
    return known.claim is AddressClaim.SOLE and known.health.is_preferred(now_ms)
