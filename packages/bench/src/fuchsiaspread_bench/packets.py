"""Packets and new flows a second through one daemon, beside loops that only relay."""

import asyncio
import multiprocessing
from collections.abc import Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from statistics import median

from fuchsiaspread_core.identifiers import Endpoint

from .figure import NO_BASELINE, NO_VALUE, Figure, print_spread, verdict_over
from .packet_samples import (
    ACK,
    CALLER_TOKEN,
    DATAGRAM_BYTES,
    TARGET_TOKEN,
    caller_packet,
    flow_of,
    target_packet,
)
from .packet_subjects import DrainedRelay, asyncio_relay, daemon
from .packet_worker import Count, Flood, Job, OpenFlows, work

WORKER_HOST = "127.0.90.2"
FLOW_COUNT = 1_000
AT_A_TIME = 256
WARM_UP_S = 0.15
DURATION_S = 0.4
# The flood outlasts the count, so that the subject is busy while it is counted.
FLOOD_S = WARM_UP_S + DURATION_S + 0.1
ANSWER_TIMEOUT_S = 10.0
PACKET_RATE_TARGET = 0.35
NEW_FLOW_RATE_TARGET = 5_000

Subject = AbstractAsyncContextManager[Endpoint]


@dataclass(frozen=True, slots=True)
class Worker:
    """Hold the connection to a worker process and the addresses of its two sockets."""

    connection: Connection
    first: Endpoint
    second: Endpoint

    async def do(self, job: Job) -> float:
        """Have a job done and return its result."""
        self.connection.send(job)
        return await asyncio.to_thread(self._result)

    def _result(self) -> float:
        if not self.connection.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError("a worker process of the measurement does not answer")
        return float(self.connection.recv())


@contextmanager
def worker() -> Iterator[Worker]:
    """Run a worker process while the context lasts."""
    context = multiprocessing.get_context("spawn")
    mine, its = context.Pipe()
    process = context.Process(target=work, args=(its, WORKER_HOST), daemon=True)
    process.start()
    try:
        yield Worker(mine, *mine.recv())
        mine.send(None)
    finally:
        process.join(ANSWER_TIMEOUT_S)
        mine.close()


def measure(repetitions: int) -> list[Figure]:
    """Measure packet rate and new flow rate."""
    with worker() as source, worker() as sink:
        return asyncio.run(_measure(repetitions, source, sink))


async def _measure(repetitions: int, source: Worker, sink: Worker) -> list[Figure]:
    ratios, asyncio_ratios, new_flows = [], [], []
    for _ in range(repetitions):
        bare = await _packets_per_second(DrainedRelay(sink.first).running(), source, sink)
        plain = await _packets_per_second(asyncio_relay(sink.first), source, sink)
        subject = daemon(sink.first, sink.first, FLOW_COUNT)
        product = await _packets_per_second(subject, source, sink)
        ratios.append(product / bare)
        asyncio_ratios.append(plain / bare)
        new_flows.append(await _new_flows_per_second(source))
    print_spread("packet_rate", "ratio", ratios)
    print_spread("packet_rate asyncio datagram endpoint", "ratio", asyncio_ratios)
    print_spread("new_flow_rate", "1/s", new_flows)
    return [_packet_rate(median(ratios), median(asyncio_ratios)), _new_flow_rate(median(new_flows))]


async def _packets_per_second(subject: Subject, source: Worker, sink: Worker) -> float:
    datagrams: list[bytes] = []
    for flow in map(flow_of, range(FLOW_COUNT)):
        # Callers and target send in turn; both sides' packets come from the target's host.
        tokens = (CALLER_TOKEN + 1, TARGET_TOKEN + 1)
        datagrams.append(caller_packet(flow, ACK, *tokens, DATAGRAM_BYTES))
        datagrams.append(target_packet(flow, ACK, *reversed(tokens), DATAGRAM_BYTES))
    async with subject as address:
        flood = asyncio.create_task(source.do(Flood(address, tuple(datagrams), FLOOD_S)))
        rate = await sink.do(Count(WARM_UP_S, DURATION_S))
        await flood
    return rate


async def _new_flows_per_second(worker: Worker) -> float:
    async with daemon(worker.first, worker.second, 0) as address:
        return await worker.do(OpenFlows(address, AT_A_TIME, WARM_UP_S, DURATION_S))


def _packet_rate(ratio: float, asyncio_ratio: float) -> Figure:
    return Figure(
        name="packet_rate",
        value=ratio,
        unit="ratio to a bare relay loop",
        baseline_name="asyncio datagram endpoint",
        baseline_value=asyncio_ratio,
        target=PACKET_RATE_TARGET,
        verdict=verdict_over(ratio, PACKET_RATE_TARGET),
    )


def _new_flow_rate(rate: float) -> Figure:
    return Figure(
        name="new_flow_rate",
        value=rate,
        unit="flows a second",
        baseline_name=NO_BASELINE,
        baseline_value=NO_VALUE,
        target=NEW_FLOW_RATE_TARGET,
        verdict=verdict_over(rate, NEW_FLOW_RATE_TARGET),
    )
