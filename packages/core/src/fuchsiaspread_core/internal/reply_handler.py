"""Forwarding of targets' replies."""

from ..effects import Effect, Notify, SendToCaller, SendToPeer
from ..events import TargetAccept, TargetClose, TargetData, TargetEvent, TargetReset
from ..flow_table import COUNTED_PHASES, ENDED_PHASES, FlowRecord, Phase, Signal
from ..identifiers import EntryName, TargetName
from ..notices import DropReason, FlowEnd, FlowRecovered
from ..relay import MAX_RELAY_HOPS, RelayCopy, RelayReply
from ..routing import TargetRoute
from .entry_state import EntryState, drop
from .open_handler import UNKNOWN_TOKEN, OpenHandler
from .recovery import Recovery

TOKEN_RANGE = 2**32
# A target sends fewer bytes than this to a caller that has not yet acknowledged the SYN-ACK.
UNCONFIRMED_WINDOW = 2**20
# Phases in which any entry VM with a copy of the record may forward a target's data without the
# manager.
ANSWERING_PHASES = frozenset({Phase.ACCEPTED, Phase.ESTABLISHED, Phase.CLOSING})


class ReplyHandler:
    """Check replies against the flow records, update the records and count ended flows."""

    def __init__(self, state: EntryState, opens: OpenHandler, recovery: Recovery) -> None:
        self._state = state
        self._opens = opens
        self._recovery = recovery

    def receive(self, now_ms: int, event: TargetEvent) -> list[Effect]:
        """Handle a reply from a target or from another entry VM."""
        match event.relay:
            case RelayCopy() as relay:
                return self._receive_copy(now_ms, event, relay)
            case RelayReply(target, hops):
                route = self._state.targets.get(target)
            case _:
                route = self._state.target_by_host.get(event.source_host)
                hops = 0
        if route is None:
            return drop(DropReason.UNKNOWN_TARGET)
        if isinstance(event, TargetReset) and self._recovery.is_active(event.flow):
            return self._recovery.withhold_reset(event.flow, route.target.name, event.payload)
        if isinstance(event, TargetData) and self._is_known(now_ms, event, route.target.name):
            return [SendToCaller(event.payload)]
        manager = self._state.routes.manager(route.shard)
        # If two entry VMs each consider the other the manager, the hop limit ends the loop.
        if manager not in (None, self._state.local_name) and hops < MAX_RELAY_HOPS:
            return [SendToPeer(manager, RelayReply(route.target.name, hops + 1), event.payload)]
        return self._handle_as_manager(now_ms, event, route, hops)

    def _is_known(self, now_ms: int, event: TargetData, target: TargetName) -> bool:
        table = self._state.table
        row = table.row(event.flow)
        if row < 0 or table.phases[row] not in ANSWERING_PHASES:
            return False
        table.seen_s[row] = now_ms // 1000
        return table.target_name(row) == target

    def _handle_as_manager(
        self, now_ms: int, event: TargetEvent, route: TargetRoute, hops: int
    ) -> list[Effect]:
        record = self._state.table.record(event.flow)
        if record is None or record.phase is Phase.SPILLED:
            return self._adopt(now_ms, event, route, hops)
        if record.target != route.target.name:
            return self._handle_other_target(now_ms, event, record, route, hops)
        match event:
            case TargetAccept():
                return self._accept(now_ms, event, record, route)
            case TargetClose():
                return self._end(now_ms, event, record, Signal.TARGET_CLOSE, FlowEnd.ANSWERED)
            case TargetReset() if record.phase is Phase.OPENING:
                return self._opens.fail(now_ms, record.flow, record.target)
            case TargetReset() if self._is_stray_reset(event, record):
                return drop(DropReason.LATE_ANSWER)
            case TargetReset():
                end = FlowEnd.RESET_BY_TARGET
                return self._end(now_ms, event, record, Signal.TARGET_RESET, end)
            case TargetData():
                return self._data(event, record)

    def _handle_other_target(
        self, now_ms: int, event: TargetEvent, record: FlowRecord, route: TargetRoute, hops: int
    ) -> list[Effect]:
        """Handle a reply from a target other than the one in the record."""
        if isinstance(event, TargetAccept):
            self._opens.note_late_accept(now_ms, event.flow, route)
        is_late_accept = isinstance(event, TargetAccept) and record.phase is Phase.OPENING
        if isinstance(event, TargetReset) or not (record.phase is Phase.ACCEPTED or is_late_accept):
            return drop(DropReason.LATE_ANSWER)
        if self._recovery.is_active(event.flow) and not isinstance(event, TargetAccept):
            # The caller's packet did not match the record's target, and this target knew the flow.
            return self._adopt(now_ms, event, route, hops)
        # Two targets accepted the same open; the home manager knows to which one it sent the open.
        home = self._state.routes.home_manager(event.flow)
        if home in (None, self._state.local_name) or hops >= MAX_RELAY_HOPS:
            return drop(DropReason.LATE_ANSWER)
        return [SendToPeer(home, RelayReply(route.target.name, MAX_RELAY_HOPS), event.payload)]

    def _is_stray_reset(self, event: TargetReset, record: FlowRecord) -> bool:
        """Return whether a reset answers a packet that was bound to another target.

        The sequence number of such a reset is the packet's acknowledgment number, which is close
        to the other target's token. A reset of the caller's own connection is close to this one's.
        """
        ahead = (event.sequence - record.target_token) % TOKEN_RANGE
        return record.phase is Phase.ACCEPTED and ahead >= UNCONFIRMED_WINDOW

    def _data(self, event: TargetData, record: FlowRecord) -> list[Effect]:
        if record.phase in (Phase.OPENING, Phase.QUEUED, Phase.REFUSED):
            return drop(DropReason.LATE_ANSWER)
        return [SendToCaller(event.payload)]

    def _accept(
        self, now_ms: int, event: TargetAccept, record: FlowRecord, route: TargetRoute
    ) -> list[Effect]:
        if (event.ack_number - record.caller_token) % TOKEN_RANGE != 1:
            return drop(DropReason.LATE_ANSWER)
        if record.phase is Phase.ESTABLISHED or event.target_token == record.target_token:
            return [SendToCaller(event.payload)]
        if record.phase is Phase.ACCEPTED:
            # The target lost the connection before the caller confirmed it, and accepted it again.
            row = self._state.table.row(record.flow)
            self._state.table.target_tokens[row] = event.target_token
            return self._replicate(event, route)
        if record.phase is not Phase.OPENING:
            return drop(DropReason.LATE_ANSWER)
        row = self._state.table.row(record.flow)
        self._state.table.signal(row, Signal.ACCEPT)
        self._state.table.target_tokens[row] = event.target_token
        effects = self._replicate(event, route)
        return effects + self._opens.accept(now_ms, record.flow, record.target)

    def _end(
        self,
        now_ms: int,
        event: TargetEvent,
        record: FlowRecord,
        signal: Signal,
        end: FlowEnd,
    ) -> list[Effect]:
        phase = self._state.table.signal(self._state.table.row(record.flow), signal)
        if phase is record.phase:
            return [SendToCaller(event.payload)]
        route = self._state.targets[record.target]
        effects = self._replicate(event, route)
        effects += self._state.note_end(now_ms, record.flow, route, end)
        pool = self._state.pools.get(route.shard)
        if pool is not None and record.phase in COUNTED_PHASES:
            effects += self._opens.apply(now_ms, pool.release(now_ms, record.flow, end))
        return effects

    def _adopt(
        self, now_ms: int, event: TargetEvent, route: TargetRoute, hops: int
    ) -> list[Effect]:
        """Create the record of an unknown flow from a target's reply."""
        address = self._state.routes.address(event.flow)
        if address is None or address.service != route.shard.service:
            return drop(DropReason.UNKNOWN_FLOW)
        if self._state.is_stale:
            # The packet may have waited through a pause, so the flow may be over, and a record
            # of it would occupy a slot forever. If it is not over, the target retransmits.
            return drop(DropReason.STALE_VIEW)
        target = route.target.name
        match event:
            case TargetReset():
                return self._reset_to_home(event, target, hops)
            case TargetAccept(flow, token, ack_number):
                caller_token = (ack_number - 1) % TOKEN_RANGE
                record = FlowRecord(flow, target, Phase.ACCEPTED, caller_token, token)
            case _:
                record = FlowRecord(event.flow, target, Phase.ESTABLISHED, UNKNOWN_TOKEN, 0)
        found = self._opens.adopt(now_ms, record)
        if self._recovery.confirm(event.flow):
            found.append(Notify(FlowRecovered(event.flow, target)))
        if isinstance(event, TargetClose):
            ended = self._end(now_ms, event, record, Signal.TARGET_CLOSE, FlowEnd.ANSWERED)
            return found + ended
        return found + self._replicate(event, route)

    def _reset_to_home(self, event: TargetReset, target: TargetName, hops: int) -> list[Effect]:
        home = self._state.routes.home_manager(event.flow)
        if home in (None, self._state.local_name) or hops >= MAX_RELAY_HOPS:
            # The caller's next packet starts a recovery, which delivers a reset if necessary.
            return drop(DropReason.UNKNOWN_FLOW)
        return [SendToPeer(home, RelayReply(target, MAX_RELAY_HOPS), event.payload)]

    def _replicate(self, event: TargetEvent, route: TargetRoute) -> list[Effect]:
        """Send a reply to the caller through the entry VMs that keep a replica of the record."""
        record = self._state.table.record(event.flow)
        assert record is not None
        replicas = self._replicas(record, route)
        if not replicas:
            return [SendToCaller(event.payload)]
        return [SendToPeer(replicas[0], RelayCopy(record, replicas[1:], 1), event.payload)]

    def _replicas(self, record: FlowRecord, route: TargetRoute) -> tuple[EntryName, ...]:
        names = list(self._state.routes.ranks(route.shard))
        home = self._state.routes.home_manager(record.flow)
        if home is not None:
            names.append(home)
        return tuple(name for name in dict.fromkeys(names) if name != self._state.local_name)

    def _receive_copy(self, now_ms: int, event: TargetEvent, relay: RelayCopy) -> list[Effect]:
        record = relay.record
        if self._opens.conflicts_with_held_record(record):
            return drop(DropReason.LATE_ANSWER)
        effects = self._opens.adopt(now_ms, record)
        if self._recovery.confirm(record.flow):
            effects.append(Notify(FlowRecovered(record.flow, record.target)))
        if record.phase in ENDED_PHASES:
            self._state.expiry.note_end(now_ms, record.flow)
        if relay.next_stops:
            next_relay = RelayCopy(record, relay.next_stops[1:], relay.hops + 1)
            return [*effects, SendToPeer(relay.next_stops[0], next_relay, event.payload)]
        return [*effects, SendToCaller(event.payload)]
