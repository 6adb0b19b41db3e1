"""One run of drawn requests against a front."""

from collections.abc import Callable, Iterable
from typing import Protocol

from .request_load import Request
from .virtual_clock import VirtualClock


class Front(Protocol):
    """Take requests at the virtual time at which callers open them."""

    def offer(self, request: Request) -> None:
        """Offer a request that a caller opens now."""


def run(
    requests: list[Request], make_front: Callable[[VirtualClock], Front], until_ms: float
) -> list[Request]:
    """Offer the requests to a front and return them with their outcomes."""
    clock = VirtualClock()
    front = make_front(clock)
    for request in requests:
        clock.call_later(request.at_ms, lambda offered=request: front.offer(offered))
    clock.run(until_ms)
    return requests


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
