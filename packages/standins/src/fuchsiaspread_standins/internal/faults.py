"""Faults of the links between hosts, without I/O."""

import json
import random
from dataclasses import asdict, dataclass
from typing import assert_never


@dataclass(frozen=True, slots=True)
class Cut:
    """Block all traffic."""


@dataclass(frozen=True, slots=True)
class Lose:
    """Drop a random share of the datagrams."""

    share: float


@dataclass(frozen=True, slots=True)
class Delay:
    """Delay each datagram by the same time."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Deliver a random share of the datagrams twice."""

    share: float


@dataclass(frozen=True, slots=True)
class Reorder:
    """Delay a random share of the datagrams, so that later ones overtake them."""

    share: float
    delay_ms: int


LinkFault = Cut | Lose | Delay | Duplicate | Reorder
_FAULTS_BY_NAME = {fault.__name__: fault for fault in (Cut, Lose, Delay, Duplicate, Reorder)}


@dataclass(frozen=True, slots=True)
class LinkRule:
    """Apply a fault to the traffic from some hosts to others; an empty set means every host."""

    sources: frozenset[str]
    destinations: frozenset[str]
    fault: LinkFault

    def covers(self, source: str, destination: str) -> bool:
        """Return whether the rule applies to a link."""
        is_source = not self.sources or source in self.sources
        return is_source and (not self.destinations or destination in self.destinations)


class LinkFaults:
    """Decide how each datagram is delivered; equal seeds and calls give equal results."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.rules: tuple[LinkRule, ...] = ()

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether a cut blocks all traffic from one host to another."""
        return any(isinstance(r.fault, Cut) and r.covers(source, destination) for r in self.rules)

    def plan(self, source: str, destination: str) -> tuple[int, ...]:
        """Return the delay of each copy to deliver; an empty tuple means that it is lost."""
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
    """Encode rules as JSON for the process that applies them."""
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
    """Decode rules that `encode_rules` has encoded."""
    return tuple(
        LinkRule(
            frozenset(body["sources"]),
            frozenset(body["destinations"]),
            _FAULTS_BY_NAME[body["fault"]](**body["values"]),
        )
        for body in json.loads(encoded)
    )
