"""The configuration of a site: parts whose indexes only increase, and the pair in force."""

from dataclasses import dataclass
from typing import assert_never

from .configuration import Configuration, Revision
from .control import NO_REVISION, PeerRevision
from .effects import FetchParts, Notify
from .events import PartPublished, PartsReceived, Tick
from .identifiers import EntryName
from .internal.fetches import FetchScheduler
from .notices import ConfigurationApplied, ConfigurationRefused, PartConflict
from .parts import ConfigurationCompiler, InvalidConfiguration, Part, PartName

__all__ = ["ApplyConfiguration", "PeerRevision", "RevisionEffect", "RevisionEvent", "RevisionStore"]

# How many refused pairs and conflicts are remembered, so that each is reported only once.
MAX_REMEMBERED = 256
PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Put a configuration in force."""

    configuration: Configuration


RevisionEvent = PartPublished | PartsReceived | PeerRevision | Tick
RevisionEffect = FetchParts | ApplyConfiguration | Notify


class RevisionStore:
    """Hold the newest parts and the last valid pair, for any order of parts and peers."""

    def __init__(self, compile: ConfigurationCompiler) -> None:
        self._compile = compile
        self._newest: dict[PartName, Part] = {}
        self._in_force: dict[PartName, Part] = {}
        self._refused: dict[Revision, None] = {}
        self._conflicts: dict[tuple[PartName, int], None] = {}
        self._fetches = FetchScheduler()
        # The newest refused pair; None once a newer pair is in force.
        self.refused: InvalidConfiguration | None = None

    @property
    def revision(self) -> Revision:
        """Return the revision in force, or `Revision(0, 0)` before the first."""
        return _revision_of(self._in_force)

    @property
    def newest_revision(self) -> Revision:
        """Return the indexes of the newest parts, with 0 for a missing part."""
        return _revision_of(self._newest)

    @property
    def in_force_parts(self) -> tuple[Part, ...]:
        """Return the base and the overlay in force, or nothing before the first pair."""
        return _ordered(self._in_force)

    @property
    def newest_parts(self) -> tuple[Part, ...]:
        """Return the newest known parts; they may be refused or incomplete."""
        return _ordered(self._newest)

    def handle(self, now_ms: int, event: RevisionEvent) -> list[RevisionEffect]:
        """Handle an event and return its effects."""
        effects: list[RevisionEffect] = []
        match event:
            case PartPublished(part=part):
                self._keep(part, PLATFORM, effects)
                self._advance(effects)
            case PartsReceived():
                self._take_parts(event, effects)
            case PeerRevision():
                self._fetches.note_revision(event)
            case Tick():
                pass
            case _:
                assert_never(event)
        peer = self._fetches.next_peer(now_ms, self._is_behind)
        if peer is not None:
            effects.append(FetchParts(peer))
        return effects

    def _take_parts(self, event: PartsReceived, effects: list[RevisionEffect]) -> None:
        self._fetches.note_answer(event.sender)
        for part in event.newest + event.in_force:
            self._keep(part, event.sender, effects)
        self._advance(effects)
        # The newest pair may be refused while the peer's pair in force is newer than the one here.
        pair = {part.name: self._held(part) for part in event.in_force}
        if isinstance(self._try(pair, effects), Configuration):
            self._advance(effects)

    def _keep(self, part: Part, source: EntryName | str, effects: list[RevisionEffect]) -> None:
        held = self._newest.get(part.name)
        if held is None or part.index > held.index:
            self._newest[part.name] = part
            return
        if self._held(part).content == part.content:
            return
        # Different content at the same index means a fault of the platform or of a peer. There is
        # no way to know which is right here, and replacing the known one would let a faulty peer
        # change the configuration.
        if _remember(self._conflicts, (part.name, part.index)):
            effects.append(Notify(PartConflict(part.name, part.index, source)))

    def _held(self, part: Part) -> Part:
        """Return the known part with the same name and index, or else the part itself."""
        for held in (self._newest.get(part.name), self._in_force.get(part.name)):
            if held is not None and held.index == part.index:
                return held
        return part

    def _advance(self, effects: list[RevisionEffect]) -> None:
        """Put the newest pair in force, or else pair one newest part with the other one in force.

        Without the second step, whether a valid part takes effect next to a refused one would
        depend on which of them arrived first, and entry VMs would differ. The part with the lower
        index is tried first, as if every part had been seen when it was published.
        """
        outcome = self._try(self._newest, effects)
        if isinstance(outcome, InvalidConfiguration):
            self.refused = outcome
            effects.append(Notify(ConfigurationRefused(outcome.revision, outcome.faults)))
        if self.revision == NO_REVISION:
            return
        for part in sorted(self._newest.values(), key=lambda part: part.index):
            self._try(self._in_force | {part.name: part}, effects)

    def _try(
        self, pair: dict[PartName, Part], effects: list[RevisionEffect]
    ) -> Configuration | InvalidConfiguration | None:
        """Put a pair in force if it is complete, newer, not refused before, and valid."""
        candidate = _revision_of(pair)
        if len(pair) < len(PartName) or not _is_forward(self.revision, candidate):
            return None
        if candidate in self._refused:
            return None
        outcome = self._compile(pair[PartName.BASE], pair[PartName.OVERLAY])
        match outcome:
            case InvalidConfiguration():
                _remember(self._refused, candidate)
            case Configuration():
                self._in_force = dict(pair)
                if self.refused is not None and _is_forward(self.refused.revision, candidate):
                    self.refused = None
                effects.append(ApplyConfiguration(outcome))
                effects.append(Notify(ConfigurationApplied(candidate)))
            case _:
                assert_never(outcome)
        return outcome

    def _is_behind(self, announced: PeerRevision) -> bool:
        """Return whether a peer has a newer part, or a newer pair in force."""
        newest = self.newest_revision
        has_newer_part = any(
            peer_index > own_index
            for revision in (announced.revision, announced.newest)
            for peer_index, own_index in zip(revision, newest, strict=True)
        )
        has_newer_pair = _is_forward(self.revision, announced.revision)
        return has_newer_part or (has_newer_pair and announced.revision not in self._refused)


def _revision_of(parts: dict[PartName, Part]) -> Revision:
    base, overlay = parts.get(PartName.BASE), parts.get(PartName.OVERLAY)
    if base is None and overlay is None:
        return NO_REVISION
    return Revision(base.index if base else 0, overlay.index if overlay else 0)


def _ordered(parts: dict[PartName, Part]) -> tuple[Part, ...]:
    return tuple(parts[name] for name in PartName if name in parts)


def _is_forward(old: Revision, new: Revision) -> bool:
    """Return whether at least one index increases and none decreases."""
    return new != old and new.base >= old.base and new.overlay >= old.overlay


def _remember(memory: dict, key: object) -> bool:
    """Add a key and return whether it is new; evicts the oldest key when the memory is full."""
    if key in memory:
        return False
    if len(memory) >= MAX_REMEMBERED:
        del memory[next(iter(memory))]
    memory[key] = None
    return True
