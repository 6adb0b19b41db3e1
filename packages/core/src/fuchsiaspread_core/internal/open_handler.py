"""Handling of opens: relay to the home manager, admission, spill to other shards, refusal."""

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
from .entry_state import BufferedOpen, EntryState, drop

# The caller token in a record that was created from a packet of an established flow.
UNKNOWN_TOKEN = 0
# A spilled open that arrives again within this time is a duplicate. Shorter than the interval
# between respills of a queued open, longer than the delay of a duplicated packet.
DUPLICATE_WINDOW_MS = 15
# Reasons that apply to one shard only, so another shard may still run the work.
SPILLED_REASONS = frozenset({RefusalReason.NO_TARGET, RefusalReason.RETRIES_USED})


class OpenHandler:
    """Decide the opens of the shards that this entry VM manages, and relay the others."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def receive(self, now_ms: int, event: CallerOpen) -> list[Effect]:
        """Handle an open from the fabric or from another entry VM."""
        address = self._state.routes.address(event.flow)
        if address is None:
            return drop(self._unknown_address_reason())
        relay = event.relay if isinstance(event.relay, RelayOpen) else None
        if relay is None or relay.shard.service != address.service:
            if relay is not None and relay.revision > self._state.routes.revision:
                # The sender has a newer configuration, in which this address belongs to another
                # service. By the older one, the open could reach the wrong service.
                return drop(DropReason.OLDER_REVISION)
            relay = self._relay_to_home_shard(event.flow, address, relay)
        if relay is None:
            return drop(DropReason.NO_MANAGER)
        if not self._state.is_manager(relay.shard):
            return self._forward(event.flow, relay, event.payload)
        if self._state.is_stale:
            return drop(DropReason.STALE_VIEW)
        return self._decide(now_ms, event, relay, address)

    def home_shard(self, flow: FlowKey) -> ShardKey | None:
        """Return the home shard of a flow, or None if its address is unknown."""
        return next(iter(self._shard_order(flow)), None)

    def fail(self, now_ms: int, flow: FlowKey, target: TargetName) -> list[Effect]:
        """Handle a target's reset of an open that was sent to it."""
        route = self._state.targets.get(target)
        pool = self._state.pools.get(route.shard) if route else None
        if pool is None:
            return drop(DropReason.UNKNOWN_FLOW)
        return self.apply(now_ms, pool.handle_open_failure(now_ms, flow, OpenFailure.RESET))

    def accept(self, now_ms: int, flow: FlowKey, target: TargetName) -> list[Effect]:
        """Record that a target accepted the open that was sent to it."""
        route = self._state.targets.get(target)
        if route is None:
            return []
        effects = self._state.note_accept(now_ms, flow, route)
        pool = self._state.pools.get(route.shard)
        if pool is not None:
            effects += self.apply(now_ms, pool.accept(now_ms, flow))
        return effects

    def note_late_accept(self, now_ms: int, flow: FlowKey, route: TargetRoute) -> None:
        """Record that a target accepted an open that had already been retried elsewhere."""
        pool = self._state.pools.get(route.shard)
        if pool is not None:
            pool.note_late_accept(now_ms, flow, route.target.name)

    def adopt(self, now_ms: int, record: FlowRecord) -> list[Effect]:
        """Store a record from elsewhere and end the open if it is still pending here."""
        former = self._state.table.record(record.flow)
        effects: list[Effect] = []
        if former is not None and former.target == record.target:
            effects = self.accept(now_ms, record.flow, record.target)
        else:
            effects = self.withdraw(now_ms, record.flow)
        self._state.store(now_ms, record)
        return effects

    def conflicts_with_held_record(self, record: FlowRecord) -> bool:
        """Return whether a record names a target other than the one the caller may be bound to.

        Two managers that do not know of each other may have sent one open to two targets. The
        caller is bound to the target of the first SYN-ACK that it received; with the record of
        the second one, the caller's packets would reach a target that resets them.
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
        """Withdraw an open that no target has accepted here."""
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

    def _unknown_address_reason(self) -> DropReason:
        has_configuration = bool(self._state.routes.index.addresses)
        return DropReason.UNKNOWN_SERVICE if has_configuration else DropReason.NO_CONFIGURATION

    def _relay_to_home_shard(
        self, flow: FlowKey, address: AddressRoute, earlier: RelayOpen | None
    ) -> RelayOpen | None:
        order = self._state.routes.shard_order(flow, address.service)
        if not order:
            return None
        hops = earlier.hops if earlier else 0
        return RelayOpen(order[0], (), self._state.routes.revision, hops)

    def _forward(self, flow: FlowKey, relay: RelayOpen, payload: bytes) -> list[Effect]:
        manager = self._state.routes.manager(relay.shard)
        if manager is None:
            return drop(DropReason.NO_MANAGER)
        if relay.hops >= MAX_RELAY_HOPS:
            return drop(DropReason.HOP_LIMIT)
        next_relay = RelayOpen(
            relay.shard, relay.tried, self._state.routes.revision, relay.hops + 1
        )
        return [SendToPeer(manager, next_relay, payload)]

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
            elif not self._is_reoffered(now_ms, record, relay):
                return self._answer_repeated(now_ms, record, event, relay)
            elif event.flow in self._state.pending:
                received_ms = self._state.pending[event.flow].received_ms
        self._state.pending[event.flow] = BufferedOpen(
            event.payload,
            event.caller_token,
            relay.shard,
            relay.tried,
            received_ms,
            now_ms,
            relay.hops,
        )
        return effects + self._offer(now_ms, event.flow, address)

    def _is_reoffered(self, now_ms: int, record: FlowRecord, relay: RelayOpen) -> bool:
        """Return whether an open that spilled from here is being offered here again.

        One entry VM may manage several shards of a service, and queued opens are offered to all
        shards again. A duplicate that arrives shortly after the first packet follows it instead,
        since another shard may be opening the flow.
        """
        if record.phase is not Phase.SPILLED:
            return False
        pending = self._state.pending.get(record.flow)
        if pending is None or pending.shard.zone in relay.tried:
            return True
        return now_ms - pending.offered_ms >= DUPLICATE_WINDOW_MS

    def _is_new_incarnation(
        self, record: FlowRecord, event: CallerOpen, address: AddressRoute
    ) -> bool:
        if record.caller_token == event.caller_token:
            return False
        route = self._state.targets.get(record.target)
        is_moved = route is None or route.shard.service != address.service
        return record.phase in ENDED_PHASES or is_moved

    def _answer_repeated(
        self, now_ms: int, record: FlowRecord, event: CallerOpen, relay: RelayOpen
    ) -> list[Effect]:
        """Handle a repeated open according to its record."""
        match record.phase:
            case Phase.QUEUED:
                return []
            case Phase.SPILLED:
                return self._answer_repeated_spill(now_ms, event.flow, relay.hops)
            case Phase.REFUSED:
                return [RefuseOpen(event.flow, event.caller_token)]
            case _:
                # The target's TCP stack answers a SYN on an existing connection.
                return self._state.to_target(record.target, event.payload)

    def _answer_repeated_spill(self, now_ms: int, flow: FlowKey, hops: int) -> list[Effect]:
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
        # Opens are queued only in their home shard, which offers them to the others.
        has_others = len(self._shard_order(flow)) > 1
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
                self._put_record(now_ms, flow, NO_TARGET, Phase.QUEUED)
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
        self._put_record(now_ms, flow, target, Phase.OPENING)
        return self._state.to_target(target, pending.payload)

    def _put_record(self, now_ms: int, flow: FlowKey, target: TargetName, phase: Phase) -> None:
        token = self._state.pending[flow].caller_token
        self._state.table.put(FlowRecord(flow, target, phase, token, 0), now_ms)

    def _spill_pending(self, now_ms: int, flow: FlowKey) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return []
        if self._state.table.phase_of(flow) is Phase.QUEUED:
            # A queued open starts another round over the other shards; the admission limits the
            # rate of these rounds.
            pending.tried = ()
            pending.hops = 0
        self._put_record(now_ms, flow, NO_TARGET, Phase.SPILLED)
        return self._spill(now_ms, flow, pending.caller_token)

    def _spill(self, now_ms: int, flow: FlowKey, caller_token: int) -> list[Effect]:
        """Offer an open to the next shard in its order, and after the last one to the first."""
        pending = self._state.pending.get(flow)
        if pending is None:
            return drop(DropReason.UNKNOWN_FLOW)
        order = self._shard_order(flow)
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
        return self._forward(flow, relay, pending.payload)

    def _shard_order(self, flow: FlowKey) -> list[ShardKey]:
        address = self._state.routes.address(flow)
        return self._state.routes.shard_order(flow, address.service) if address else []

    def _next_shard(self, flow: FlowKey, pending: BufferedOpen) -> ShardKey | None:
        tried = (*pending.tried, pending.shard.zone)
        return next((shard for shard in self._shard_order(flow) if shard.zone not in tried), None)

    def _refuse(self, now_ms: int, flow: FlowKey, reason: RefusalReason) -> list[Effect]:
        pending = self._state.pending.get(flow)
        if pending is None:
            return []
        if reason in SPILLED_REASONS and self._next_shard(flow, pending) is not None:
            return self._spill_pending(now_ms, flow)
        del self._state.pending[flow]
        token = pending.caller_token
        # Because of this record, repeated SYNs of this connection are refused too: after "not
        # run", the work must not be run.
        self._state.table.put(FlowRecord(flow, NO_TARGET, Phase.REFUSED, token, 0), now_ms)
        self._state.expiry.note_end(now_ms, flow)
        notice = OpenRefused(pending.shard.service, reason)
        return [RefuseOpen(flow, token), Notify(notice)]
