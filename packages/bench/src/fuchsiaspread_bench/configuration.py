"""Time until a configuration is in force at all entry VMs while the platform often fails.

The time of a change starts when it has been published and the platform is up for at least one
entry VM; before that, no entry VM can read it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import median

from fuchsiaspread_core.configuration import Configuration, Revision
from fuchsiaspread_core.control import PeerRevision
from fuchsiaspread_core.effects import FetchParts
from fuchsiaspread_core.events import PartPublished, PartsReceived, Tick
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part, PartName
from fuchsiaspread_core.revisions import ApplyConfiguration, RevisionEvent, RevisionStore

from .control import estimated_bytes
from .figure import Figure, print_figure, print_spread, verdict_exactly, verdict_under
from .fleet import TICK_MS, Clock, Fleet
from .platform_model import RECONNECT_MS, WATCH_DELAY_MS, Platform

MEMBER_COUNT = 4
CHANGE_COUNT = 100
CHANGE_INTERVAL_MS = 3_000
SETTLING_MS = 60_000
# Every tenth change is invalid and must be refused; only the valid ones are counted.
INVALID_EVERY = 10
LOSS_SHARE = 0.02
FETCH_MS = 5
POLL_INTERVAL_MS = 1_000
IN_FORCE_TARGET_MS = 2_000
BASELINE = "polling the platform"
INVALID = b"invalid"


@dataclass(slots=True)
class Outcome:
    """For each change, when it became readable and was in force; and the number of reverts."""

    readable_ms: dict[int, int] = field(default_factory=dict)
    in_force_ms: dict[int, int] = field(default_factory=dict)
    reverts: int = 0
    refusals: int = 0

    def slowest_ms(self) -> int:
        """Return the time of the slowest change."""
        return max(
            self.in_force_ms[index] - readable for index, readable in self.readable_ms.items()
        )


class Observer:
    """Records the revision in force at each entry VM."""

    def __init__(self, clock: Clock, outcome: Outcome) -> None:
        self._clock = clock
        self._outcome = outcome
        self._in_force: dict[int, Revision] = dict.fromkeys(range(MEMBER_COUNT), Revision(0, 0))
        self._waiting: dict[int, PartName] = {}

    def expect(self, part: Part) -> None:
        """Start waiting until a valid part is in force everywhere."""
        self._waiting[part.index] = part.name

    def record_revision(self, reader: int, revision: Revision) -> None:
        """Record the revision that an entry VM has put in force."""
        before = self._in_force[reader]
        if revision.base < before.base or revision.overlay < before.overlay:
            self._outcome.reverts += 1
        self._in_force[reader] = revision
        for index, name in list(self._waiting.items()):
            if all(getattr(item, name.value) >= index for item in self._in_force.values()):
                self._outcome.in_force_ms[index] = self._clock.now_ms
                del self._waiting[index]


def compile_unless_invalid(base: Part, overlay: Part) -> Configuration | InvalidConfiguration:
    """Replace the real validation, which is not part of the core."""
    revision = Revision(base.index, overlay.index)
    if INVALID in (base.content, overlay.content):
        return InvalidConfiguration(revision, (Fault("base", "services", "bad", "correct it"),))
    return Configuration("occidente", revision, ())


class ProductSite:
    """Entry VMs, each with membership and revision store, on a virtual network."""

    def __init__(self, seed: int, observer: Callable[[Clock], Observer]) -> None:
        self.fleet = Fleet(MEMBER_COUNT, seed, estimated_bytes, self._on_peer_revision)
        self.clock = self.fleet.clock
        self._observer = observer(self.clock)
        self._random = Random(seed)
        self.fleet.is_lost = lambda sender, receiver: self._random.random() < LOSS_SHARE
        self._names = [member.name for member in self.fleet.members]
        self._stores = {name: RevisionStore(compile_unless_invalid) for name in self._names}
        for name in self._names:
            self._start_ticks(name)

    def deliver_part(self, reader: int, part: Part) -> None:
        """Deliver a published part to an entry VM."""
        self._deliver(self._names[reader], PartPublished(part))

    def _start_ticks(self, name: EntryName) -> None:
        self.clock.repeat(TICK_MS, TICK_MS, lambda: self._deliver(name, Tick()))

    def _on_peer_revision(self, name: EntryName, peer_revision: PeerRevision) -> None:
        self._deliver(name, peer_revision)

    def _deliver(self, name: EntryName, event: RevisionEvent) -> None:
        store = self._stores[name]
        for effect in store.handle(self.clock.now_ms, event):
            match effect:
                case ApplyConfiguration(configuration=configuration):
                    self._observer.record_revision(self._names.index(name), configuration.revision)
                case FetchParts(peer=peer):
                    self._fetch(name, peer)
        membership = self.fleet.nodes[name].membership
        membership.revision, membership.newest_revision = store.revision, store.newest_revision

    def _fetch(self, name: EntryName, peer: EntryName) -> None:
        if self._random.random() < LOSS_SHARE:
            return
        held = self._stores[peer]
        received = PartsReceived(peer, held.in_force_parts, held.newest_parts)
        self.clock.post(FETCH_MS, lambda: self._deliver(name, received))


class PollingSite:
    """Baseline: each entry VM polls the platform and applies the parts it reads if valid."""

    def __init__(self, seed: int, observer: Callable[[Clock], Observer]) -> None:
        self.clock = Clock()
        self._observer = observer(self.clock)
        self._held: list[dict[PartName, Part]] = [{} for _ in range(MEMBER_COUNT)]

    def deliver_part(self, reader: int, part: Part) -> None:
        """Deliver a published part to an entry VM."""
        held = self._held[reader]
        if held.get(part.name) == part:
            return
        candidate = held | {part.name: part}
        if len(candidate) < len(PartName):
            held.update(candidate)
            return
        outcome = compile_unless_invalid(candidate[PartName.BASE], candidate[PartName.OVERLAY])
        if isinstance(outcome, Configuration):
            held.update(candidate)
            self._observer.record_revision(reader, outcome.revision)


def run_changes(site_type: type[ProductSite] | type[PollingSite], seed: int) -> Outcome:
    """Publish all changes at a site and return the outcome."""
    outcome = Outcome()
    observers: list[Observer] = []

    def observe(clock: Clock) -> Observer:
        observers.append(Observer(clock, outcome))
        return observers[0]

    site = site_type(seed, observe)
    clock, random = site.clock, Random(seed + 1)
    platform = Platform(clock, seed, MEMBER_COUNT)

    def read(reader: int) -> None:
        for part in platform.read(reader):
            site.deliver_part(reader, part)

    def schedule_read(reader: int, min_ms: int, max_ms: int) -> None:
        clock.post(random.randint(min_ms, max_ms), lambda: read(reader))

    if site_type is PollingSite:
        for reader in range(MEMBER_COUNT):
            clock.repeat(
                random.randint(0, POLL_INTERVAL_MS), POLL_INTERVAL_MS, lambda r=reader: read(r)
            )
    else:
        platform.on_up = lambda reader: schedule_read(reader, 0, RECONNECT_MS)
    _publish_changes(clock, platform, observers[0], outcome, schedule_read)
    return outcome


def _publish_changes(
    clock: Clock,
    platform: Platform,
    observer: Observer,
    outcome: Outcome,
    schedule_read: Callable[[int, int, int], None],
) -> None:
    names = (PartName.OVERLAY, PartName.BASE)
    unreadable: list[int] = []

    def record_readable() -> None:
        if platform.is_up_for_any():
            outcome.readable_ms.update(dict.fromkeys(unreadable, clock.now_ms))
            unreadable.clear()

    clock.repeat(0, 1, record_readable)
    index = valid_count = 0
    while valid_count < CHANGE_COUNT:
        index += 1
        is_valid = index % INVALID_EVERY != 0
        part = Part(names[index % 2], index, b"" if is_valid else INVALID)
        platform.publish(part)
        # Base file and overlay are both needed, so the first change alone cannot come into force.
        if is_valid and index > 1:
            valid_count += 1
            observer.expect(part)
            unreadable.append(index)
        for reader in range(MEMBER_COUNT):
            schedule_read(reader, *WATCH_DELAY_MS)
        clock.run(CHANGE_INTERVAL_MS)
    clock.run(SETTLING_MS)


def measure(repetitions: int) -> list[Figure]:
    """Measure product and baseline alternately and return the figures."""
    product: list[Outcome] = []
    baseline: list[Outcome] = []
    for seed in range(repetitions):
        product.append(run_changes(ProductSite, seed))
        baseline.append(run_changes(PollingSite, seed))
    product_s, baseline_s = (
        [item.slowest_ms() / 1000 for item in runs] for runs in (product, baseline)
    )
    reverts, baseline_reverts = ([item.reverts for item in runs] for runs in (product, baseline))
    print_spread("config_in_force_p100 product", "s", product_s)
    print_spread("config_in_force_p100 baseline", "s", baseline_s)
    print_spread("config_reverts product", "reverts", reverts)
    print_spread("config_reverts baseline", "reverts", baseline_reverts)
    slowest, target = median(product_s), IN_FORCE_TARGET_MS / 1000
    verdict = verdict_under(slowest, target)
    # A single revert in any repetition is a fault, so the verdict uses the sum, not the median.
    count = sum(reverts)
    return [
        Figure("config_in_force", slowest, "s", BASELINE, median(baseline_s), target, verdict),
        Figure(
            "config_reverts",
            count,
            "reverts",
            BASELINE,
            sum(baseline_reverts),
            0,
            verdict_exactly(count, 0),
        ),
    ]


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
