"""The path of opens: home manager, spill to other shards, admission, refusal."""

from dataclasses import replace
from typing import assert_never

from ..admission import (
    Admit,
    Decision,
    Decline,
    Enqueue,
    Inform,
    OpenFailure,
    OpenRequest,
    Refuse,
)
from ..effects import Effect, Notify, RefuseOpen, SendToPeer
from ..events import CallerOpen
from ..flow_table import ENDED_PHASES, NO_TARGET, FlowRecord, Phase
from ..identifiers import FlowKey, TargetName
from ..notices import DropReason, FlowEnd, OpenRefused, RefusalReason
from ..relay import MAX_RELAY_HOPS, RelayOpen, ShardKey
from ..routing import AddressRoute, TargetRoute
from .entry_state import EntryState, PendingOpen, drop

# The caller token of a record that was learnt from a packet of an established flow.
UNKNOWN_TOKEN = 0
# Below the pause between the rounds of a waiting open, above the delay of a duplicated packet.
SPILL_MEMORY_MS = 15
# Reasons that concern one shard only, so that another shard may still run the work.
SPILLED_REASONS = frozenset({RefusalReason.NO_TARGET, RefusalReason.RETRIES_USED})


class OpenPath:
    """Decide about opens of the shards that this entry VM manages and pass on the others."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def receive(self, now_ms: int, event: CallerOpen) -> list[Effect]:
        """Take an open from the fabric or from another entry VM."""
        address = self._state.routes.address(event.flow)
        if address is None:
            return drop(self._unknown_reason())
        relay = event.relay if isinstance(event.relay, RelayOpen) else None
        if relay is None or relay.shard.service != address.service:
            if relay is not None and relay.revision > self._state.routes.revision:
                # The sender knows a newer service of this address; deciding by the older
                # configuration could hand the open to the wrong service.
                return drop(DropReason.OLDER_REVISION)
            relay = self._first_relay(event.flow, address, relay)
        if relay is None:
            return drop(DropReason.NO_MANAGER)
        if not self._state.is_manager(relay.shard):
            return self._pass_on(event.flow, relay, event.payload)
        if self._state.is_stale:
            return drop(DropReason.STALE_VIEW)
        return self._decide(now_ms, event, relay, address)

    def home_shard(self, flow: FlowKey) -> ShardKey | None:
        """Return the home shard of a flow, or None when its address is not known."""
        return next(iter(self._order(flow)), None)

    def fail(self, now_ms: int, flow: FlowKey, target: TargetName) -> list[Effect]:
        """Act on a target's reset of an open that was given to it."""
        route = self._state.targets.get(target)
        pool = self._state.pools.get(route.shard) if route else None
        if pool is None:
            return drop(DropReason.UNKNOWN_FLOW)
        return self.apply(now_ms, pool.handle_open_failure(now_ms, flow, OpenFailure.RESET))

    def accept(self, now_ms: int, flow: FlowKey, target: TargetName) -> list[Effect]:
        """Note that the target that was given an open has accepted it."""
        route = self._state.targets.get(target)
        if route is None:
            return []
        effects = self._state.note_accept(now_ms, flow, route)
        pool = self._state.pools.get(route.shard)
        if pool is not None:
            effects += self.apply(now_ms, pool.accept(now_ms, flow))
        return effects

    def note_late_accept(self, now_ms: int, flow: FlowKey, route: TargetRoute) -> None:
        """Note that a target answered an open that had gone to another one."""
        pool = self._state.pools.get(route.shard)
        if pool is not None:
            pool.note_late_accept(now_ms, flow, route.target.name)

    def adopt(self, now_ms: int, record: FlowRecord) -> list[Effect]:
        """Store a record learnt from elsewhere; an open that still waits here is over."""
        former = self._state.table.record(record.flow)
        effects: list[Effect] = []
        if former is not None and former.target == record.target:
            effects = self.accept(now_ms, record.flow, record.target)
        else:
            effects = self.withdraw(now_ms, record.flow)
        self._state.store(now_ms, record)
        return effects

    def is_contradicted(self, record: FlowRecord) -> bool:
        """Return whether a record names another target than the caller is or may be bound to.

        Two managers that did not hear of each other may have given one open to two targets. The
        caller is bound to the first SYN-ACK that it got; passing on the second one's record
        would send the caller's packets to a target that resets them.
        """
        held = self._state.table.record(record.flow)
        if held is None or held.target in (NO_TARGET, record.target):
            return False
        is_same_open = record.caller_token in (held.caller_token, UNKNOWN_TOKEN)
        match held.phase:
            case Phase.ESTABLISHED | Phase.CLOSING:
                return is_same_open
            case Phase.ACCEPTED:
                return is_same_open and record.phase is Phase.ACCEPTED
            case _:
                return False

    def withdraw(self, now_ms: int, flow: FlowKey) -> list[Effect]:
        """Take back an open that no target has accepted here."""
        pending = self._state.pending.pop(flow, None)
        pool = self._state.pools.get(pending.shard) if pending else None
        if pool is None or not pool.is_managed(flow):
            return []
        return self.apply(now_ms, pool.release(now_ms, flow, FlowEnd.CANCELLED))

    def apply(self, now_ms: int, decisions: list[Decision]) -> list[Effect]:
        """Carry out the decisions of a shard's admission."""
        effects: list[Effect] = []
        for decision in decisions:
            effects += self._apply_one(now_ms, decision)
        return effects

    def _unknown_reason(self) -> DropReason:
        has_configuration = bool(self._state.routes.index.addresses)
        return DropReason.UNKNOWN_SERVICE if has_configuration else DropReason.NO_CONFIGURATION

    def _first_relay(
        self, flow: FlowKey, address: AddressRoute, earlier: RelayOpen | None
    ) -> RelayOpen | None:
        order = self._state.routes.shard_order(flow, address.service)
        if not order:
            return None
        hops = earlier.hops if earlier else 0
        return RelayOpen(order[0], (), self._state.routes.revision, hops)

    def _pass_on(self, flow: FlowKey, relay: RelayOpen, payload: bytes) -> list[Effect]:
        manager = self._state.routes.manager(relay.shard)
        if manager is None:
            return drop(DropReason.NO_MANAGER)
        if relay.hops >= MAX_RELAY_HOPS:
            return drop(DropReason.HOP_LIMIT)
        onward = RelayOpen(relay.shard, relay.tried, self._state.routes.revision, relay.hops + 1)
        return [SendToPeer(manager, onward, payload)]

    def _decide(
        self, now_ms: int, event: CallerOpen, relay: RelayOpen, address: AddressRoute
    ) -> list[Effect]:
        record = self._state.table.record(event.flow)
        effects: list[Effect] = []
        received_ms = now_ms
        if record is not None:
            if self._is_new_incarnation(record, event, address):
                effects = self.withdraw(now_ms, event.flow)
                self._state.table.remove(event.flow)
            elif not self._is_offered_again(now_ms, record, relay):
                return self._repeat(now_ms, record, event, relay)
            elif event.flow in self._state.pending:
                received_ms = self._state.pending[event.flow].received_ms
        self._state.pending[event.flow] = PendingOpen(
            event.payload,
            event.caller_token,
            relay.shard,
            relay.tried,
            received_ms,
            now_ms,
            relay.hops,
        )
        return effects + self._offer(now_ms, event.flow, address)

    def _is_offered_again(self, now_ms: int, record: FlowRecord, relay: RelayOpen) -> bool:
        """Return whether an open that was passed on from here is offered here once more.

        One entry VM may manage several shards of a service, and waiting opens go round the
        shards again. A duplicate that follows at once goes after the first one instead, since
        another shard may be opening the flow.
        """
        if record.phase is not Phase.SPILLED:
            return False
        pending = self._state.pending.get(record.flow)
        if pending is None or pending.shard.zone in relay.tried:
            return True
        return now_ms - pending.offered_ms >= SPILL_MEMORY_MS

    def _is_new_incarnation(
        self, record: FlowRecord, event: CallerOpen, address: AddressRoute
    ) -> bool:
        if record.caller_token == event.caller_token:
            return False
        route = self._state.targets.get(record.target)
        is_moved = route is None or route.shard.service != address.service
        return record.phase in ENDED_PHASES or is_moved

    def _repeat(
        self, now_ms: int, record: FlowRecord, event: CallerOpen, relay: RelayOpen
    ) -> list[Effect]:
        """Answer a repeated open from its record."""
        match record.phase:
            case Phase.QUEUED:
                return []
            case Phase.SPILLED:
                return self._repeat_spill(now_ms, event.flow, relay.hops)
            case Phase.REFUSED:
                return [RefuseOpen(event.flow, event.caller_token)]
            case _:
                # The transport of a target answers an open on a live connection by itself.
                return self._state.to_target(record.target, event.payload)

    def _repeat_spill(self, now_ms: int, flow: FlowKey, hops: int) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return drop(DropReason.UNKNOWN_FLOW)
        pending.hops = hops
        return self._spill(now_ms, flow, pending.caller_token)

    def _offer(self, now_ms: int, flow: FlowKey, address: AddressRoute) -> list[Effect]:
        pending = self._state.pending[flow]
        pool = self._state.pools.get(pending.shard)
        if pool is None:
            return drop(DropReason.NO_MANAGER)
        # Opens wait at their home shard only, which sends them round the others.
        has_others = len(self._order(flow)) > 1
        is_last = pending.shard.zone in pending.tried or not has_others
        request = OpenRequest(
            flow, pending.caller_token, address.kind, not is_last, is_last and has_others
        )
        return self._apply_one(now_ms, pool.offer(now_ms, request))

    def _apply_one(self, now_ms: int, decision: Decision) -> list[Effect]:
        match decision:
            case Admit(flow, target):
                return self._admit(now_ms, flow, target)
            case Enqueue(flow):
                self._put(now_ms, flow, NO_TARGET, Phase.QUEUED)
                return []
            case Decline(flow):
                return self._spill_pending(now_ms, flow)
            case Refuse(flow, reason):
                return self._refuse(now_ms, flow, reason)
            case Inform(notice):
                return [Notify(notice)]
            case _:
                assert_never(decision)

    def _admit(self, now_ms: int, flow: FlowKey, target: TargetName) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return []
        self._put(now_ms, flow, target, Phase.OPENING)
        return self._state.to_target(target, pending.payload)

    def _put(self, now_ms: int, flow: FlowKey, target: TargetName, phase: Phase) -> None:
        token = self._state.pending[flow].caller_token
        self._state.table.put(FlowRecord(flow, target, phase, token, 0), now_ms)

    def _spill_pending(self, now_ms: int, flow: FlowKey) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return []
        if self._state.table.phase_of(flow) is Phase.QUEUED:
            # A waiting open begins another round over the other shards; the admission paces it.
            pending.tried = ()
            pending.hops = 0
        self._put(now_ms, flow, NO_TARGET, Phase.SPILLED)
        return self._spill(now_ms, flow, pending.caller_token)

    def _spill(self, now_ms: int, flow: FlowKey, caller_token: int) -> list[Effect]:
        """Pass an open to the next shard in its order, and at the end back to the first."""
        pending = self._state.pending.get(flow)
        if pending is None:
            return drop(DropReason.UNKNOWN_FLOW)
        order = self._order(flow)
        shard = self._next_shard(flow, pending) or order[0]
        tried = (*pending.tried, pending.shard.zone)
        relay = RelayOpen(shard, tried, self._state.routes.revision, pending.hops)
        if self._state.is_manager(shard):
            address = self._state.routes.address(flow)
            if address is None:
                return drop(DropReason.UNKNOWN_SERVICE)
            self._state.pending[flow] = replace(
                pending, shard=shard, tried=tried, offered_ms=now_ms
            )
            return self._offer(now_ms, flow, address)
        return self._pass_on(flow, relay, pending.payload)

    def _order(self, flow: FlowKey) -> list[ShardKey]:
        address = self._state.routes.address(flow)
        return self._state.routes.shard_order(flow, address.service) if address else []

    def _next_shard(self, flow: FlowKey, pending: PendingOpen) -> ShardKey | None:
        tried = (*pending.tried, pending.shard.zone)
        return next((shard for shard in self._order(flow) if shard.zone not in tried), None)

    def _refuse(self, now_ms: int, flow: FlowKey, reason: RefusalReason) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return []
        if reason in SPILLED_REASONS and self._next_shard(flow, pending) is not None:
            return self._spill_pending(now_ms, flow)
        del self._state.pending[flow]
        token = pending.caller_token
        # The record answers repeated opens of this incarnation in the same way: after "not
        # run" the work must not be run.
        self._state.table.put(FlowRecord(flow, NO_TARGET, Phase.REFUSED, token, 0), now_ms)
        self._state.expiry.note_end(now_ms, flow)
        notice = OpenRefused(pending.shard.service, reason)
        return [RefuseOpen(flow, token), Notify(notice)]
