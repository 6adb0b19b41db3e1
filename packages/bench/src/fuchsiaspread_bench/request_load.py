"""Requests that the admission measurements offer, drawn from a seed."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from fuchsiaspread_core.identifiers import Endpoint, FlowKey, address_key

SERVICE = Endpoint("10.20.0.1", 7002)
SERVICE_KEY = address_key(SERVICE)
NETWORK_COUNT = 40
BULK_NETWORK_COUNT = 2


@dataclass(slots=True)
class Request:
    """Hold one offered request and what became of it.

    Units: milliseconds since the start of the run.
    """

    flow: FlowKey
    at_ms: float
    work_ms: float
    is_straggler: bool
    answered_ms: float = math.inf
    refused_ms: float = math.inf

    def latency_ms(self) -> float:
        """Return the time to the complete answer, infinite when there was none."""
        return self.answered_ms - self.at_ms


@dataclass(frozen=True, slots=True)
class Stragglers:
    """Tell how many requests take longer, by how much, and who sends them.

    `recognisable_share` of them come from networks that send nothing else.
    """

    share: float = 0.0
    factor: float = 1.0
    recognisable_share: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Draw requests with exponential work from a Poisson process with a varying rate."""

    rate_per_ms: Callable[[float], float]
    peak_rate_per_ms: float
    work_ms: float
    until_ms: float
    stragglers: Stragglers = Stragglers()

    def draw(self, seed: int) -> list[Request]:
        """Return the requests of one run in order of arrival."""
        return list(self._draw(Random(seed)))

    def _draw(self, random: Random) -> Iterator[Request]:
        at_ms, number = 0.0, 0
        while True:
            at_ms += random.expovariate(self.peak_rate_per_ms)
            if at_ms >= self.until_ms:
                return
            # Thinning: a candidate of the peak rate is kept with the present rate's share.
            if random.random() * self.peak_rate_per_ms > self.rate_per_ms(at_ms):
                continue
            number += 1
            is_straggler = random.random() < self.stragglers.share
            is_bulk = is_straggler and random.random() < self.stragglers.recognisable_share
            network = random.randrange(BULK_NETWORK_COUNT if is_bulk else NETWORK_COUNT)
            # Bulk networks are numbered from 200, the others from 0.
            flow = _flow(200 + network if is_bulk else network, number)
            work_ms = random.expovariate(1 / self.work_ms)
            work_ms *= self.stragglers.factor if is_straggler else 1.0
            yield Request(flow, at_ms, work_ms, is_straggler)


def _flow(network: int, number: int) -> FlowKey:
    # Put together from bytes: parsing addresses took a fifth of the measurements' time.
    host = bytes((10, 1, network, 1 + number // 60_000))
    port = (1024 + number % 60_000).to_bytes(2, "big")
    return FlowKey(host + SERVICE_KEY[:4] + port + SERVICE_KEY[4:])
