"""Random request loads for the admission benchmarks, reproducible from a seed."""

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
    """One offered request and its outcome; times are in ms since the start of the run."""

    flow: FlowKey
    at_ms: float
    work_ms: float
    is_straggler: bool
    answered_ms: float = math.inf
    refused_ms: float = math.inf

    def latency_ms(self) -> float:
        """Return the time to the complete response, or infinity without one."""
        return self.answered_ms - self.at_ms


@dataclass(frozen=True, slots=True)
class Stragglers:
    """Long requests in a load: their share, their factor of work, and their senders.

    `recognisable_share` of them come from networks that send nothing else.
    """

    share: float = 0.0
    factor: float = 1.0
    recognisable_share: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Poisson process with a varying rate that draws requests with exponential work."""

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
            # Thinning: keep a candidate drawn at the peak rate with probability rate / peak rate.
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
    # Built from bytes, because parsing addresses took a fifth of the benchmarks' time.
    host = bytes((10, 1, network, 1 + number // 60_000))
    port = (1024 + number % 60_000).to_bytes(2, "big")
    return FlowKey(host + SERVICE_KEY[:4] + port + SERVICE_KEY[4:])
