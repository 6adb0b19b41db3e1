"""Packets and new flows per second through one daemon, compared with plain relay loops."""

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
from .packet_subjects import CallbackRelay, asyncio_relay, daemon
from .packet_worker import Count, Flood, Job, OpenFlows, run_worker

WORKER_HOST = "127.0.90.2"
FLOW_COUNT = 1_000
MAX_OPEN_FLOWS = 256
WARM_UP_S = 0.15
DURATION_S = 0.4
# The flood outlasts the count, so that the subject is saturated for all of the count.
FLOOD_S = WARM_UP_S + DURATION_S + 0.1
ANSWER_TIMEOUT_S = 10.0
PACKET_RATE_TARGET = 0.35
NEW_FLOW_RATE_TARGET = 5_000

Subject = AbstractAsyncContextManager[Endpoint]


@dataclass(frozen=True, slots=True)
class Worker:
    """Connection to a worker process, and the addresses of its two sockets."""

    connection: Connection
    first: Endpoint
    second: Endpoint

    async def run(self, job: Job) -> float:
        """Run a job in the worker process and return its result."""
        self.connection.send(job)
        return await asyncio.to_thread(self._result)

    def _result(self) -> float:
        if not self.connection.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError("a worker process of the benchmark does not respond")
        return float(self.connection.recv())


@contextmanager
def worker() -> Iterator[Worker]:
    """Run a worker process for the duration of the context."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(target=run_worker, args=(child_end, WORKER_HOST), daemon=True)
    process.start()
    try:
        yield Worker(parent_end, *parent_end.recv())
        parent_end.send(None)
    finally:
        process.join(ANSWER_TIMEOUT_S)
        parent_end.close()


def measure(repetitions: int) -> list[Figure]:
    """Measure packet rate and new flow rate."""
    with worker() as source, worker() as sink:
        return asyncio.run(_measure(repetitions, source, sink))


async def _measure(repetitions: int, source: Worker, sink: Worker) -> list[Figure]:
    ratios, asyncio_ratios, new_flows = [], [], []
    for _ in range(repetitions):
        bare_rate = await _packets_per_second(CallbackRelay(sink.first).running(), source, sink)
        asyncio_rate = await _packets_per_second(asyncio_relay(sink.first), source, sink)
        subject = daemon(sink.first, sink.first, FLOW_COUNT)
        product_rate = await _packets_per_second(subject, source, sink)
        ratios.append(product_rate / bare_rate)
        asyncio_ratios.append(asyncio_rate / bare_rate)
        new_flows.append(await _new_flows_per_second(source))
    print_spread("packet_rate", "ratio", ratios)
    print_spread("packet_rate asyncio datagram endpoint", "ratio", asyncio_ratios)
    print_spread("new_flow_rate", "1/s", new_flows)
    return [_packet_rate(median(ratios), median(asyncio_ratios)), _new_flow_rate(median(new_flows))]


async def _packets_per_second(subject: Subject, source: Worker, sink: Worker) -> float:
    datagrams: list[bytes] = []
    for flow in map(flow_of, range(FLOW_COUNT)):
        # Packets of caller and target alternate; both are sent from the target's host.
        tokens = (CALLER_TOKEN + 1, TARGET_TOKEN + 1)
        datagrams.append(caller_packet(flow, ACK, *tokens, DATAGRAM_BYTES))
        datagrams.append(target_packet(flow, ACK, *reversed(tokens), DATAGRAM_BYTES))
    async with subject as address:
        flood = asyncio.create_task(source.run(Flood(address, tuple(datagrams), FLOOD_S)))
        rate = await sink.run(Count(WARM_UP_S, DURATION_S))
        await flood
    return rate


async def _new_flows_per_second(worker: Worker) -> float:
    async with daemon(worker.first, worker.second, 0) as address:
        return await worker.run(OpenFlows(address, MAX_OPEN_FLOWS, WARM_UP_S, DURATION_S))


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
