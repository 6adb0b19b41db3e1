"""Handover of shards between entry VMs when managers change.

An open is a caller's SYN, which starts a flow; the manager of a shard is the entry VM that decides
the opens for the shard's targets, and the backup is the next in rank, which keeps copies of the
manager's records.
"""

from collections.abc import Collection

from ..admission import ShardAdmission
from ..effects import Effect, Notify, SendRecords, SendToPeer
from ..events import CallerOpen
from ..flow_table import COUNTED_PHASES, FlowRecord, Phase
from ..identifiers import EntryName, FlowKey
from ..notices import RecordsHandedOver
from ..relay import RelayOpen, ShardKey
from ..routing import RouteTable
from .entry_state import BufferedOpen, EntryState

# A new manager waits up to this long for the former manager's records before it decides opens.
# Otherwise it would admit opens to slots that are in use.
WARM_UP_LIMIT_MS = 1000
RECORDS_PER_MESSAGE = 500
MAX_HELD_OPENS = 2000
# QUEUED, SPILLED and OPENING are left out: these opens have no SYN-ACK yet, the new manager has no
# packet to retry them with, and the caller's retransmission opens the flow at the new manager. In
# CLOSED and REFUSED, the flow has ended. CANCELLED is sent, also if it was reached from OPENING.
SENT_PHASES = frozenset({Phase.ACCEPTED, Phase.ESTABLISHED, Phase.CANCELLED, Phase.CLOSING})


class Handover:
    """Send records to new managers and backups, and start managing shards that were gained.

    The pool of a shard is its `ShardAdmission`.
    """

    def __init__(self, state: EntryState, seed: int) -> None:
        self._state = state
        self._seed = seed
        self._warm_until: dict[ShardKey, tuple[EntryName, int]] = {}
        self._held: list[CallerOpen] = []

    def change_routes(
        self, now_ms: int, former: RouteTable, alive: frozenset[EntryName]
    ) -> list[Effect]:
        """Handle a new route table; `alive` holds the entry VMs that still answer."""
        state = self._state
        gained: list[ShardKey] = []
        shards_by_peer: dict[EntryName, set[ShardKey]] = {}
        former_shards = {route.shard for route in state.targets.values()}
        for shard in dict.fromkeys((*state.routes.index.shards, *former_shards)):
            before, after = former.ranks(shard), state.routes.ranks(shard)
            is_served = shard in state.routes.index.shards
            if after[:1] == (state.local_name,) and shard not in state.pools and is_served:
                gained.append(shard)
                if before and before[0] != state.local_name and before[0] in alive:
                    self._warm_until[shard] = (before[0], now_ms + WARM_UP_LIMIT_MS)
            elif (
                after[:1] == (state.local_name,)
                and before == (state.local_name,)
                and len(after) > 1
            ):
                # A restarted entry VM first knows only itself, so its former route table names
                # itself as the manager. The actual former manager is now the backup.
                self._warm_until[shard] = (after[1], now_ms + WARM_UP_LIMIT_MS)
            if self._is_sender(before, after, alive):
                for peer in self._receivers(before, after):
                    shards_by_peer.setdefault(peer, set()).add(shard)
        effects = self._send(shards_by_peer) + self._close_pools()
        self._open_pools(now_ms, gained)
        return effects

    def is_warming(self, now_ms: int, shard: ShardKey) -> bool:
        """Return whether opens of a shard must wait for the former manager's records."""
        warming = self._warm_until.get(shard)
        if warming is None:
            return False
        if now_ms < warming[1]:
            return True
        del self._warm_until[shard]
        return False

    def hold(self, event: CallerOpen) -> None:
        """Hold an open until the records of its shard have arrived."""
        if len(self._held) < MAX_HELD_OPENS:
            self._held.append(event)

    def take_held(self, now_ms: int) -> list[CallerOpen]:
        """Remove and return the held opens once no shard is warming up."""
        if not self._held or any(self.is_warming(now_ms, s) for s in tuple(self._warm_until)):
            return []
        held, self._held = self._held, []
        return held

    def note_transfer_end(self, sender: EntryName) -> None:
        """Record that a former manager has sent all its records."""
        for shard in [s for s, (peer, _) in self._warm_until.items() if peer == sender]:
            del self._warm_until[shard]

    def _is_sender(
        self, before: tuple[EntryName, ...], after: tuple[EntryName, ...], alive: frozenset
    ) -> bool:
        """Return whether this entry VM sends a shard's records.

        The former manager sends them; if it no longer answers, the new manager does.
        """
        if not before or before[0] in alive:
            return before[:1] == (self._state.local_name,)
        return after[:1] == (self._state.local_name,)

    def _receivers(
        self, before: tuple[EntryName, ...], after: tuple[EntryName, ...]
    ) -> list[EntryName]:
        """Return a shard's new manager, and its new backup if that held neither rank before.

        The local entry VM is left out.
        """
        new_manager = [name for name in after[:1] if before[:1] != (name,)]
        new_backup = [name for name in after[1:] if name not in before]
        receivers = dict.fromkeys(new_manager + new_backup)
        return [name for name in receivers if name != self._state.local_name]

    def _send(self, shards_by_peer: dict[EntryName, set[ShardKey]]) -> list[Effect]:
        if not shards_by_peer:
            return []
        effects: list[Effect] = []
        for peer, shards in shards_by_peer.items():
            chosen = self._records_of(shards, SENT_PHASES)
            # An empty transfer is sent too, so that the new manager does not wait for records.
            for start in range(0, len(chosen) or 1, RECORDS_PER_MESSAGE):
                chunk = tuple(chosen[start : start + RECORDS_PER_MESSAGE])
                is_last = start + RECORDS_PER_MESSAGE >= len(chosen)
                former = self._state.former_targets() if start == 0 else ()
                effects.append(SendRecords(peer, chunk, is_last, former))
            if chosen:
                effects.append(Notify(RecordsHandedOver(peer, len(chosen))))
        return effects

    def _records_of(self, shards: Collection[ShardKey], phases: frozenset) -> list[FlowRecord]:
        targets = self._state.targets.items()
        names = [name for name, route in targets if route.shard in shards]
        return self._state.table.records_of(names, phases)

    def _close_pools(self) -> list[Effect]:
        lost = {shard for shard in self._state.pools if not self._state.is_manager(shard)}
        for shard in lost:
            del self._state.pools[shard]
        effects: list[Effect] = []
        for flow, pending in list(self._state.pending.items()):
            if pending.shard in lost:
                effects += self._forward_waiting(flow, pending)
        return effects

    def _forward_waiting(self, flow: FlowKey, pending: BufferedOpen) -> list[Effect]:
        """Relay a queued open, which no target has seen, to the new manager of its shard.

        For an open that was sent to a target, only the local record is removed. The new manager
        adopts the open from the target's answer, which this entry VM would drop if it still had
        the record.
        """
        phase = self._state.table.phase_of(flow)
        manager = self._state.routes.manager(pending.shard)
        if phase not in (Phase.QUEUED, Phase.OPENING) or manager is None:
            return []
        del self._state.pending[flow]
        self._state.table.remove(flow)
        if phase is Phase.OPENING:
            return []
        relay = RelayOpen(pending.shard, pending.tried, self._state.routes.revision, 1)
        return [SendToPeer(manager, relay, pending.payload)]

    def _open_pools(self, now_ms: int, gained: list[ShardKey]) -> None:
        for shard in gained:
            pool = self._state.pools[shard] = ShardAdmission(self._seed)
            pool.configure(now_ms, self._state.routes.index.shards[shard])
        for record in self._records_of(gained, COUNTED_PHASES):
            self._adopt(now_ms, record)

    def _adopt(self, now_ms: int, record: FlowRecord) -> None:
        address = self._state.routes.address(record.flow)
        if address is not None:
            pool = self._state.pools[self._state.targets[record.target].shard]
            pool.adopt(now_ms, record, address.kind)
