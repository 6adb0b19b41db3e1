"""Explanations of the routing of flows and targets, for operators."""

from ..flow_table import NO_TARGET
from ..identifiers import FlowKey, TargetName
from ..routing import TargetRoute
from ..status import FlowExplanation, TargetExplanation, TargetStatus
from .entry_state import EntryState
from .target_load import TargetCondition

# The meaning of each condition and the next step for the operator.
CONDITION_TEXTS: dict[TargetCondition, tuple[str, str]] = {
    TargetCondition.IN_USE: ("the target takes new work", "nothing to do"),
    TargetCondition.SLOW_START: (
        "the target is new or has returned, so its share of new work increases gradually",
        "wait half a minute",
    ),
    TargetCondition.SUSPECT: (
        "the target failed recently and gets one open at a time until it answers",
        "check the target's own logs",
    ),
    TargetCondition.EJECTED: (
        "the target failed several times in a row and gets no new work for a while",
        "check the target's own logs, then restart it or set `state: draining`",
    ),
    TargetCondition.DRAINING: (
        "the target is set to drain in its configuration file, so it gets no new work",
        "set `state: active` to give it new work again",
    ),
    TargetCondition.REMOVED: (
        "the configuration in force no longer contains the target",
        "nothing to do; flows that it still serves continue",
    ),
}


class Explanation:
    """Explain routing decisions from the state of the entry core."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def target_statuses(self, now_ms: int) -> tuple[TargetStatus, ...]:
        """Return the status of each target of the configuration in force."""
        routes = self._state.routes.index.targets.values()
        return tuple(self._status(now_ms, route) for route in routes)

    def flow(self, flow: FlowKey) -> FlowExplanation:
        """Return where a flow goes and why."""
        routes = self._state.routes
        address = routes.address(flow)
        if address is None:
            reason = "the configuration in force has no service with this address"
            return FlowExplanation(None, None, None, None, None, None, reason)
        order = routes.shard_order(flow, address.service)
        ranks = routes.ranks(order[0]) if order else ()
        record = self._state.table.record(flow)
        return FlowExplanation(
            service=address.service,
            home_shard=order[0] if order else None,
            manager=ranks[0] if ranks else None,
            backup=ranks[1] if len(ranks) > 1 else None,
            target=record.target if record and record.target != NO_TARGET else None,
            phase=record.phase if record else None,
            reason=(
                "this entry VM has the flow's record"
                if record
                else "this entry VM has no record; ask the manager"
            ),
        )

    def target(self, now_ms: int, name: TargetName) -> TargetExplanation:
        """Return why a target does or does not get new work."""
        route = self._state.routes.index.targets.get(name)
        if route is None:
            reason = "the configuration in force has no target with this name"
            return TargetExplanation(None, reason, "run `fuchsiaspread show` to see the names")
        status = self._status(now_ms, route)
        if status.load is None:
            reason = f"entry VM {status.manager} manages this target"
            return TargetExplanation(status, reason, f"ask entry VM {status.manager}")
        reason, next_step = CONDITION_TEXTS[status.load.condition]
        return TargetExplanation(status, reason, next_step)

    def _status(self, now_ms: int, route: TargetRoute) -> TargetStatus:
        target, shard = route.target, route.shard
        pool = self._state.pools.get(shard)
        summaries = pool.summaries(now_ms) if pool is not None else []
        return TargetStatus(
            name=target.name,
            service=shard.service,
            zone=target.zone,
            manager=self._state.routes.manager(shard),
            load=next((summary for summary in summaries if summary.name == target.name), None),
        )
