"""CPU time that one daemon spends on control messages, measured with the process CPU clock.

One daemon is driven alone, with simulated peers that only respond. With a fleet of 200 daemons in
one process, each would evict the others' state from the CPU cache, unlike in any deployment.
"""

import time

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import Probe, ProbeAnswer
from fuchsiaspread_core.effects import SendControl
from fuchsiaspread_core.events import ControlReceived, MembersPublished, Tick
from fuchsiaspread_core.membership import PROBE_INTERVAL_MS, Membership, MembershipEffect

from .fleet import TICK_MS, make_member
from .heartbeats import HEARTBEAT_INTERVAL_MS, Heartbeats

MEASURED_TICKS = 10_000
REVISION = Revision(1, 1)


def product_processor_us(count: int, seed: int) -> float:
    """Return the CPU time per second of one membership among `count` members."""
    members = tuple(make_member(number) for number in range(count))
    membership = Membership(members[0], (), seed)
    membership.handle(0, MembersPublished(members))
    peers = [member.name for member in members[1:]]
    settling_ticks = count * PROBE_INTERVAL_MS // TICK_MS
    waiting: list[MembershipEffect] = []
    started_ns = 0
    for tick in range(settling_ticks + MEASURED_TICKS):
        if tick == settling_ticks:
            started_ns = time.process_time_ns()
        now_ms = tick * TICK_MS
        for effect in waiting:
            match effect:
                case SendControl(peer=peer, message=Probe(sequence=sequence)):
                    answer = ProbeAnswer(sequence, peer, REVISION, ())
                    membership.handle(now_ms, ControlReceived(peer, answer))
        if now_ms % PROBE_INTERVAL_MS == 0:
            probe = ControlReceived(peers[tick % len(peers)], Probe(tick, REVISION, ()))
            membership.handle(now_ms, probe)
        waiting = membership.handle(now_ms, Tick())
    return _per_second(time.process_time_ns() - started_ns)


def baseline_processor_us(count: int, seed: int) -> float:
    """Return the CPU time per second of one member with all-to-all heartbeats."""
    names = tuple(make_member(number).name for number in range(1, count))
    heartbeats = Heartbeats(names, seed % HEARTBEAT_INTERVAL_MS, Probe(1, REVISION, ()))
    started_ns = time.process_time_ns()
    for tick in range(MEASURED_TICKS):
        now_ms = tick * TICK_MS
        if now_ms % HEARTBEAT_INTERVAL_MS == 0:
            for name in names:
                heartbeats.receive(now_ms, name)
        heartbeats.tick(now_ms)
        heartbeats.check(now_ms)
    return _per_second(time.process_time_ns() - started_ns)


def _per_second(spent_ns: int) -> float:
    return spent_ns / 1000 / (MEASURED_TICKS * TICK_MS / 1000)
