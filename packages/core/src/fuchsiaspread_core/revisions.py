"""The configuration of a site: parts that move only forward, and the pair in force."""

from dataclasses import dataclass
from typing import assert_never

from .configuration import Configuration, Revision
from .control import NO_REVISION, PeerRevision
from .effects import FetchParts, Notify
from .events import PartPublished, PartsReceived, Tick
from .identifiers import EntryName
from .internal.fetches import FetchPlan
from .notices import ConfigurationApplied, ConfigurationRefused, PartConflict
from .parts import ConfigurationCompiler, InvalidConfiguration, Part, PartName

__all__ = ["ApplyConfiguration", "PeerRevision", "RevisionEffect", "RevisionEvent", "RevisionStore"]

# Refused pairs and conflicts that are remembered so that each is reported once.
MAX_REMEMBERED = 256
PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a configuration from now on."""

    configuration: Configuration


RevisionEvent = PartPublished | PartsReceived | PeerRevision | Tick
RevisionEffect = FetchParts | ApplyConfiguration | Notify


class RevisionStore:
    """Hold the newest parts and the last good pair, whatever order parts and peers come in."""

    def __init__(self, compile: ConfigurationCompiler) -> None:
        self._compile = compile
        self._newest: dict[PartName, Part] = {}
        self._in_force: dict[PartName, Part] = {}
        self._refused: dict[Revision, None] = {}
        self._conflicts: dict[tuple[PartName, int], None] = {}
        self._fetches = FetchPlan()
        # The newest refused pair, or None once a newer pair is in force.
        self.refused: InvalidConfiguration | None = None

    @property
    def revision(self) -> Revision:
        """Return the revision in force, or `Revision(0, 0)` before the first."""
        return _revision_of(self._in_force)

    @property
    def newest_revision(self) -> Revision:
        """Return the indexes of the newest parts; 0 stands for a missing part."""
        return _revision_of(self._newest)

    @property
    def in_force_parts(self) -> tuple[Part, ...]:
        """Return the parts in force: base and overlay, or none."""
        return _ordered(self._in_force)

    @property
    def newest_parts(self) -> tuple[Part, ...]:
        """Return the newest parts held, which may be refused or incomplete."""
        return _ordered(self._newest)

    def handle(self, now_ms: int, event: RevisionEvent) -> list[RevisionEffect]:
        """Take an event and return what follows from it."""
        effects: list[RevisionEffect] = []
        match event:
            case PartPublished(part=part):
                self._keep(part, PLATFORM, effects)
                self._advance(effects)
            case PartsReceived():
                self._take_parts(event, effects)
            case PeerRevision():
                self._fetches.note(event)
            case Tick():
                pass
            case _:
                assert_never(event)
        peer = self._fetches.next_peer(now_ms, self._lacks)
        if peer is not None:
            effects.append(FetchParts(peer))
        return effects

    def _take_parts(self, event: PartsReceived, effects: list[RevisionEffect]) -> None:
        self._fetches.settle(event.sender)
        for part in event.newest + event.in_force:
            self._keep(part, event.sender, effects)
        self._advance(effects)
        # The newest pair may be refused while the peer's pair in force is newer than the own.
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
        # Two contents at one index mean a fault of the platform or of a peer. Which one is right
        # cannot be told here, and replacing the held one would let a faulty peer change it.
        if _remember(self._conflicts, (part.name, part.index)):
            effects.append(Notify(PartConflict(part.name, part.index, source)))

    def _held(self, part: Part) -> Part:
        """Return the own copy of a part at the same index, or the part itself."""
        for held in (self._newest.get(part.name), self._in_force.get(part.name)):
            if held is not None and held.index == part.index:
                return held
        return part

    def _advance(self, effects: list[RevisionEffect]) -> None:
        """Put the newest pair in force, or else one newest part beside the other last good one.

        Without the second step, whether a good part comes into force beside a refused one would
        depend on which of them arrived first, and entry VMs would differ. The part with the lower
        index goes first, as it would if every part had been seen when it was published.
        """
        outcome = self._try(self._newest, effects)
        if isinstance(outcome, InvalidConfiguration):
            self.refused = outcome
            effects.append(Notify(ConfigurationRefused(outcome.revision, outcome.faults)))
        if self.revision == NO_REVISION:
            return
        for part in sorted(self._newest.values(), key=lambda one: one.index):
            self._try(self._in_force | {part.name: part}, effects)

    def _try(
        self, pair: dict[PartName, Part], effects: list[RevisionEffect]
    ) -> Configuration | InvalidConfiguration | None:
        """Put a pair in force if it is complete, forward in both parts, untried and valid."""
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

    def _lacks(self, stated: PeerRevision) -> bool:
        """Return whether a peer holds a newer part, or has a newer pair in force."""
        newest = self.newest_revision
        has_newer_part = any(
            theirs > ours
            for revision in (stated.revision, stated.newest)
            for theirs, ours in zip(revision, newest, strict=True)
        )
        has_newer_pair = _is_forward(self.revision, stated.revision)
        return has_newer_part or (has_newer_pair and stated.revision not in self._refused)


def _revision_of(parts: dict[PartName, Part]) -> Revision:
    base, overlay = parts.get(PartName.BASE), parts.get(PartName.OVERLAY)
    if base is None and overlay is None:
        return NO_REVISION
    return Revision(base.index if base else 0, overlay.index if overlay else 0)


def _ordered(parts: dict[PartName, Part]) -> tuple[Part, ...]:
    return tuple(parts[name] for name in PartName if name in parts)


def _is_forward(old: Revision, new: Revision) -> bool:
    """Return whether at least one part advances and none goes back."""
    return new != old and new.base >= old.base and new.overlay >= old.overlay


def _remember(memory: dict, key: object) -> bool:
    """Add a key and return whether it is new; the oldest key goes when the memory is full."""
    if key in memory:
        return False
    if len(memory) >= MAX_REMEMBERED:
        del memory[next(iter(memory))]
    memory[key] = None
    return True
