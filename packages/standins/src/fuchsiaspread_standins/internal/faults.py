"""Faults of the links between hosts, planned without input or output."""

import json
import random
from dataclasses import asdict, dataclass
from typing import assert_never


@dataclass(frozen=True, slots=True)
class Cut:
    """Lose everything."""


@dataclass(frozen=True, slots=True)
class Lose:
    """Lose a share of the datagrams."""

    share: float


@dataclass(frozen=True, slots=True)
class Delay:
    """Delay each datagram by the same time."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Deliver a share of the datagrams twice."""

    share: float


@dataclass(frozen=True, slots=True)
class Reorder:
    """Hold a share of the datagrams back, so that later ones overtake them."""

    share: float
    delay_ms: int


LinkFault = Cut | Lose | Delay | Duplicate | Reorder
_FAULTS_BY_NAME = {fault.__name__: fault for fault in (Cut, Lose, Delay, Duplicate, Reorder)}


@dataclass(frozen=True, slots=True)
class LinkRule:
    """Put a fault on what some hosts send to others; an empty set stands for every host."""

    sources: frozenset[str]
    destinations: frozenset[str]
    fault: LinkFault

    def covers(self, source: str, destination: str) -> bool:
        """Return whether the rule holds for a link."""
        is_source = not self.sources or source in self.sources
        return is_source and (not self.destinations or destination in self.destinations)


class LinkFaults:
    """Plan the deliveries of datagrams; equal seeds and calls give equal plans."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.rules: tuple[LinkRule, ...] = ()

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether nothing gets from one host to another."""
        return any(isinstance(r.fault, Cut) and r.covers(source, destination) for r in self.rules)

    def plan(self, source: str, destination: str) -> tuple[int, ...]:
        """Return the delay of each copy to deliver; no copy means that the datagram is lost."""
        delays: tuple[int, ...] = (0,)
        for rule in self.rules:
            if not rule.covers(source, destination):
                continue
            match rule.fault:
                case Cut():
                    return ()
                case Lose(share):
                    if self._random.random() < share:
                        return ()
                case Delay(delay_ms):
                    delays = tuple(delay + delay_ms for delay in delays)
                case Duplicate(share):
                    if self._random.random() < share:
                        delays += delays
                case Reorder(share, delay_ms):
                    if self._random.random() < share:
                        delays = tuple(delay + delay_ms for delay in delays)
                case _:
                    assert_never(rule.fault)
        return delays


def encode_rules(rules: tuple[LinkRule, ...]) -> bytes:
    """Return the JSON form of rules, which crosses to the process that applies them."""
    return json.dumps(
        [
            {
                "sources": sorted(rule.sources),
                "destinations": sorted(rule.destinations),
                "fault": type(rule.fault).__name__,
                "values": asdict(rule.fault),
            }
            for rule in rules
        ]
    ).encode()


def decode_rules(encoded: bytes) -> tuple[LinkRule, ...]:
    """Return the rules of a JSON form that `encode_rules` made."""
    return tuple(
        LinkRule(
            frozenset(body["sources"]),
            frozenset(body["destinations"]),
            _FAULTS_BY_NAME[body["fault"]](**body["values"]),
        )
        for body in json.loads(encoded)
    )
