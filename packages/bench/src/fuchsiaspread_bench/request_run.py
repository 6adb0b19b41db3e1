"""Run of a request load against a simulated load balancer."""

from collections.abc import Callable, Iterable
from typing import Protocol

from .request_load import Request
from .virtual_clock import VirtualClock


class Balancer(Protocol):
    """Load balancer that gets requests at the virtual time at which callers open them."""

    def offer(self, request: Request) -> None:
        """Offer a request that a caller opens now."""


def run(
    requests: list[Request], make_balancer: Callable[[VirtualClock], Balancer], until_ms: float
) -> list[Request]:
    """Offer the requests to a balancer and return them with their outcomes."""
    clock = VirtualClock()
    balancer = make_balancer(clock)
    for request in requests:
        clock.call_later(request.at_ms, lambda offered=request: balancer.offer(offered))
    clock.run(until_ms)
    return requests


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which the given share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
