"""Forwarding of a caller's packets after the open."""

from ..effects import Effect, SendToPeer
from ..events import CallerData, CallerReset
from ..flow_table import FORWARDED_PHASES, FlowRecord, Phase, Signal
from ..identifiers import EntryName, FlowKey
from ..notices import DropReason, FlowEnd
from ..relay import (
    MAX_RELAY_HOPS,
    RelayAsk,
    RelayReturn,
    RelayToManager,
    RelayUnknown,
)
from .entry_state import EntryState, drop
from .open_handler import OpenHandler
from .recovery import Recovery

TOKEN_RANGE = 2**32
# A target sends fewer bytes than this before the caller's first packet reaches an entry VM with
# the record. A wrong token falls into a window of 2**28 once in 16 times, which broke flows in
# tests. Beyond this window, the record is looked up at the other entry VMs, one of which saw the
# first packet.
CONFIRM_WINDOW = 2**16
# Together with the way to the home manager and back, this stays within the hop limit.
MAX_LOOKUPS = 5


class CallerHandler:
    """Send packets of known flows to their target, and find the target of unknown flows."""

    def __init__(self, state: EntryState, opens: OpenHandler, recovery: Recovery) -> None:
        self._state = state
        self._opens = opens
        self._recovery = recovery

    def receive_data(self, now_ms: int, event: CallerData) -> list[Effect]:
        """Handle a caller's packet from the fabric or from another entry VM."""
        match event.relay:
            case None:
                hops = 0
            case RelayUnknown(hops):
                pass
            case RelayAsk() as relay:
                return self._answer_lookup(event, relay)
            case RelayReturn(record):
                return self._handle_lookup_result(now_ms, event, record)
            case _:
                return drop(DropReason.UNKNOWN_FLOW)
        table = self._state.table
        row = table.row(event.flow)
        if row >= 0 and self._is_forwarded(row, event.ack_number):
            table.seen_s[row] = now_ms // 1000
            return self._state.to_target(table.target_name(row), event.payload)
        return self._send_to_home(now_ms, event, hops)

    def receive_reset(self, now_ms: int, event: CallerReset) -> list[Effect]:
        """Handle a caller's reset, or relay it to the manager of the target's shard.

        The manager keeps the slot of a running request busy until the target is known to be done.
        """
        record = self._state.table.record(event.flow)
        hops = event.relay.hops if event.relay is not None else 0
        if record is None or record.phase is Phase.SPILLED:
            return self._reset_to_home(event, hops)
        route = self._state.targets.get(record.target)
        if route is not None and not self._state.is_manager(route.shard):
            manager = self._state.routes.manager(route.shard)
            if manager is not None and hops < MAX_RELAY_HOPS:
                return [SendToPeer(manager, RelayToManager(hops + 1), event.payload)]
        return self._cancel(now_ms, record, event.payload)

    def _is_forwarded(self, row: int, ack_number: int) -> bool:
        table = self._state.table
        phase = table.phases[row]
        if phase == Phase.ESTABLISHED:
            return True
        if phase == Phase.ACCEPTED:
            # The token that the caller acknowledges identifies the target that it is bound to. If
            # another manager also admitted this open, this target must not get the packet.
            ahead = (ack_number - table.target_tokens[row] - 1) % TOKEN_RANGE
            if ahead >= CONFIRM_WINDOW:
                return False
            table.phases[row] = Phase.ESTABLISHED
            return True
        return phase in FORWARDED_PHASES

    def _send_to_home(self, now_ms: int, event: CallerData, hops: int) -> list[Effect]:
        home = self._state.routes.home_manager(event.flow)
        if home is None:
            return drop(DropReason.UNKNOWN_SERVICE)
        if home != self._state.local_name:
            if hops >= MAX_RELAY_HOPS:
                return drop(DropReason.HOP_LIMIT)
            return [SendToPeer(home, RelayUnknown(hops + 1), event.payload)]
        holders = self._record_holders(event.flow)
        if not holders:
            return self._recovery.send(now_ms, event.flow, event.payload)
        relay = RelayAsk(self._state.local_name, holders[1:], hops + 1)
        return [SendToPeer(holders[0], relay, event.payload)]

    def _record_holders(self, flow: FlowKey) -> tuple[EntryName, ...]:
        """Return the entry VMs that may hold a record, in the order in which to look it up.

        First the managers of other shards, then the managers and backups of the home shard by the
        current and earlier routing tables.
        """
        routes = self._state.routes
        address = routes.address(flow)
        if address is None:
            return ()
        order = routes.shard_order(flow, address.service)
        names = [manager for shard in order[1:] if (manager := routes.manager(shard))]
        names += [name for shard in order[:1] for name in routes.ranks(shard)]
        for earlier in reversed(self._state.former_routes):
            earlier_address = earlier.address(flow)
            if earlier_address is None:
                continue
            for shard in earlier.shard_order(flow, earlier_address.service)[:1]:
                names += earlier.ranks(shard)
        others = [name for name in dict.fromkeys(names) if name != self._state.local_name]
        return tuple(name for name in others if name in self._state.reachable)[:MAX_LOOKUPS]

    def _answer_lookup(self, event: CallerData, relay: RelayAsk) -> list[Effect]:
        row = self._state.table.row(event.flow)
        is_known = row >= 0 and self._is_forwarded(row, event.ack_number)
        if not is_known and relay.next_asked and relay.hops < MAX_RELAY_HOPS - 1:
            next_relay = RelayAsk(relay.home, relay.next_asked[1:], relay.hops + 1)
            return [SendToPeer(relay.next_asked[0], next_relay, event.payload)]
        record = self._state.table.record(event.flow) if is_known else None
        return [SendToPeer(relay.home, RelayReturn(record, relay.hops + 1), event.payload)]

    def _handle_lookup_result(
        self, now_ms: int, event: CallerData, record: FlowRecord | None
    ) -> list[Effect]:
        if record is None:
            return self._recovery.send(now_ms, event.flow, event.payload)
        effects = self._opens.adopt(now_ms, record)
        return effects + self._state.to_target(record.target, event.payload)

    def _reset_to_home(self, event: CallerReset, hops: int) -> list[Effect]:
        home = self._state.routes.home_manager(event.flow)
        if home is None or home == self._state.local_name or hops >= MAX_RELAY_HOPS:
            return drop(DropReason.UNKNOWN_FLOW)
        return [SendToPeer(home, RelayUnknown(hops + 1), event.payload)]

    def _cancel(self, now_ms: int, record: FlowRecord, payload: bytes) -> list[Effect]:
        effects: list[Effect] = []
        if record.phase in FORWARDED_PHASES or record.phase is Phase.OPENING:
            effects += self._state.to_target(record.target, payload)
        pending = self._state.pending.pop(record.flow, None)
        route = self._state.targets.get(record.target)
        shard = route.shard if route is not None else pending.shard if pending else None
        pool = self._state.pools.get(shard) if shard is not None else None
        if pool is not None:
            effects += self._opens.apply(now_ms, pool.cancel(now_ms, record.flow))
        if route is None:
            self._state.table.remove(record.flow)
        else:
            self._state.table.signal(self._state.table.row(record.flow), Signal.CANCEL)
            effects += self._state.note_end(now_ms, record.flow, route, FlowEnd.CANCELLED)
        return effects
