"""Control traffic of an entry VM in encoded bytes, when idle and while flows are opened."""

from collections import Counter
from dataclasses import dataclass
from statistics import median

from fuchsiaspread_configuration import PeerKey
from fuchsiaspread_core.effects import SendControl, SendRecords, SendToPeer
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.relay import RelayCopy
from fuchsiaspread_entry.internal.authentication import Keyring
from fuchsiaspread_entry.peer_codec import PeerMessage, RelayedPacket, encode_message
from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.site import ORDER_DESK, SCREENS, callers, start_site

from .figure import (
    NO_BASELINE,
    NO_VALUE,
    Figure,
    print_spread,
    verdict_under,
)

ENTRY_COUNT = 4
IDLE_MS = 20_000
LOAD_MS = 1_000
FLOWS_PER_SECOND = 2_000 * ENTRY_COUNT
OPENED_COUNT = FLOWS_PER_SECOND * LOAD_MS // 1000
# Long enough that a stream sends nothing more after its first response.
QUIET_INTERVAL_MS = 10**6
TARGET_BYTES_PER_SECOND = 2_000
IP_AND_UDP_HEADER_BYTES = 28
BOOT = 2**40
SECRET_LENGTH_BYTES = 32


class ByteCounter:
    """Sums the encoded size of the messages between entry VMs."""

    def __init__(self, keyring: Keyring) -> None:
        self._keyring = keyring
        self.control: Counter[EntryName] = Counter()
        self.copies: Counter[EntryName] = Counter()
        self.copy_count = 0

    def observe(self, sender: EntryName, effect: SendToPeer | SendControl | SendRecords) -> None:
        """Count one message; handovers of records are left out, as they are not steady traffic."""
        match effect:
            case SendControl(peer, message):
                self.control[sender] += self._size(sender, peer, (), (message,))
            case SendToPeer(peer, RelayCopy() as relay):
                # Count only the overhead: the packet would be sent without the copy as well.
                self.copy_count += 1
                self.copies[sender] += self._size(sender, peer, (RelayedPacket(relay, b""),), ())
            case _:
                pass

    def _size(self, sender: EntryName, peer: EntryName, packets: tuple, controls: tuple) -> int:
        message = PeerMessage(sender, peer, BOOT, BOOT, packets, controls, BOOT)
        return IP_AND_UDP_HEADER_BYTES + len(self._keyring.sign_datagram(encode_message(message)))


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes per second sent by the busiest entry VM, and the copies sent by all of them."""

    control_bytes: float
    copy_bytes: float
    copy_count: int
    bytes_per_copy: float


def traffic(fleet: Fleet, keyring: Keyring, duration_ms: int) -> Traffic:
    """Run the fleet on its virtual clock and return the traffic between the entry VMs."""
    counter = ByteCounter(keyring)
    fleet.observe = counter.observe
    fleet.run(duration_ms)
    seconds = duration_ms / 1000
    return Traffic(
        max(counter.control.values(), default=0) / seconds,
        max(counter.copies.values(), default=0) / seconds,
        counter.copy_count,
        counter.copies.total() / max(1, counter.copy_count),
    )


def measure_once(seed: int, keyring: Keyring) -> tuple[Traffic, Traffic]:
    """Return the traffic when idle and while flows are opened."""
    _, fleet = start_site(seed, ENTRY_COUNT)
    idle = traffic(fleet, keyring, IDLE_MS)
    opened = callers(OPENED_COUNT, SCREENS, ORDER_DESK, True, seed, QUIET_INTERVAL_MS)
    for number, caller in enumerate(opened):
        delay_ms = number * LOAD_MS // OPENED_COUNT
        fleet.call_later(delay_ms, lambda caller=caller: fleet.add_caller(caller))
    return idle, traffic(fleet, keyring, LOAD_MS)


def measure(repetitions: int) -> list[Figure]:
    """Measure control traffic; copies, sent along with data packets, are printed separately."""
    keyring = Keyring((PeerKey(id=1, secret=bytes(SECRET_LENGTH_BYTES)),))
    results = [measure_once(seed, keyring) for seed in range(1, repetitions + 1)]
    loads = [loaded for _, loaded in results]
    idle = [quiet.control_bytes for quiet, _ in results]
    loaded = [load.control_bytes for load in loads]
    print_spread("control_bytes_idle product", "bytes/s", idle)
    print_spread("control_bytes_loaded product", "bytes/s", loaded)
    copy_bytes = [load.copy_bytes for load in loads]
    print_spread("copy headers on data packets while loaded", "bytes/s", copy_bytes)
    print_spread("header of a copy", "bytes", [load.bytes_per_copy for load in loads])
    copies = [load.copy_count / OPENED_COUNT for load in loads]
    print_spread("copies of an accepted open", "copies/flow", copies)
    figures = []
    for name, values in (("control_bytes_idle", idle), ("control_bytes_loaded", loaded)):
        value = median(values)
        verdict = verdict_under(value, TARGET_BYTES_PER_SECOND)
        figures.append(
            Figure(
                name,
                value,
                "bytes/s",
                NO_BASELINE,
                NO_VALUE,
                TARGET_BYTES_PER_SECOND,
                verdict,
            )
        )
    return figures
