"""Baselines for kept flows: target selection without shared flow records."""

from collections.abc import Iterable, Sequence

from fuchsiaspread_core.configuration import Target, TargetState
from fuchsiaspread_core.identifiers import FlowKey
from fuchsiaspread_core.rendezvous import rank, rank_weighted
from xxhash import xxh3_64_intdigest


def _active(targets: Iterable[Target]) -> dict[str, int]:
    return {t.name: t.weight for t in targets if t.state is TargetState.ACTIVE and t.weight > 0}


def moved_by_modulo(flows: Sequence[FlowKey], stages: Sequence[tuple[Target, ...]]) -> int:
    """Count the flows that a modulo hash maps to another target at any later stage."""
    lists = [
        [name for name, weight in _active(stage).items() for _ in range(weight)] for stage in stages
    ]
    moved = 0
    for flow in flows:
        number = xxh3_64_intdigest(flow)
        first = lists[0][number % len(lists[0])]
        moved += any(names[number % len(names)] != first for names in lists[1:])
    return moved


def moved_by_consistent_hash(flows: Sequence[FlowKey], stages: Sequence[tuple[Target, ...]]) -> int:
    """Count the flows that stateless weighted rendezvous hashing maps to another target."""
    weights = []
    for stage in stages:
        # Consecutive equal stages give equal choices.
        if not weights or weights[-1] != _active(stage):
            weights.append(_active(stage))
    moved = 0
    for flow in flows:
        first = rank_weighted(flow, weights[0])[0]
        moved += any(rank_weighted(flow, stage)[0] != first for stage in weights[1:])
    return moved


def lost_with_local_tables(
    flows: Sequence[FlowKey], entries: Sequence[str], killed: str, targets: Sequence[Target]
) -> int:
    """Count the flows lost with a killed entry VM if each entry VM has only a local flow table.

    The fabric is assumed to keep a flow on one entry VM as long as that is alive, which favours
    this baseline. Each entry VM assigns targets round robin, since its table stores the choice.
    """
    names = list(_active(targets))
    next_target = dict.fromkeys(entries, 0)
    lost = 0

    def choose(entry: str) -> str:
        next_target[entry] += 1
        return names[next_target[entry] % len(names)]

    first = {flow: (rank(flow, entries)[0], "") for flow in flows}
    for flow, (entry, _) in first.items():
        first[flow] = (entry, choose(entry))
    remaining = [entry for entry in entries if entry != killed]
    for flow, (entry, target) in first.items():
        if entry == killed:
            lost += choose(rank(flow, remaining)[0]) != target
    return lost
