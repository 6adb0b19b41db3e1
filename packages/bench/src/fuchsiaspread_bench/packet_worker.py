"""Load generator in a separate process: floods, counts datagrams, or simulates callers and target.

Every loop is bounded in count and in time.
"""

import select
import socket
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection

from fuchsiaspread_core.identifiers import Endpoint

from .packet_samples import (
    ACK,
    CALLER_TOKEN,
    FIN,
    HEADERS_BYTES,
    SYN,
    TARGET_TOKEN,
    caller_packet,
    flow_of,
    target_packet,
)

BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAMS = 2_000_000
CLOCK_CHECK_INTERVAL = 64
POLL_S = 0.02
FLAGS_OFFSET = 33


@dataclass(frozen=True, slots=True)
class Flood:
    """Job: send datagrams in turn as fast as possible."""

    destination: Endpoint
    datagrams: tuple[bytes, ...]
    duration_s: float


@dataclass(frozen=True, slots=True)
class Count:
    """Job: count the datagrams that arrive after a warm-up."""

    warm_up_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class OpenFlows:
    """Job: open and end flows through an entry VM, with a bounded number open at a time."""

    entry: Endpoint
    max_open: int
    warm_up_s: float
    duration_s: float


Job = Flood | Count | OpenFlows


def run_worker(connection: Connection, host: str) -> None:
    """Send the addresses of two sockets, then run jobs and send a number as result of each."""
    first, second = _socket(host), _socket(host)
    connection.send((Endpoint(*first.getsockname()), Endpoint(*second.getsockname())))
    while True:
        match connection.recv():
            case Flood() as flood:
                connection.send(_flood(first, flood))
            case Count() as count:
                connection.send(_count(first, count))
            case OpenFlows() as flows:
                connection.send(_open_flows(first, second, flows))
            case _:
                return


def _socket(host: str) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.bind((host, 0))
    return opened


def _flood(source: socket.socket, flood: Flood) -> int:
    end = time.monotonic() + flood.duration_s
    sent, count = 0, len(flood.datagrams)
    while sent < MAX_DATAGRAMS and time.monotonic() < end:
        for _ in range(CLOCK_CHECK_INTERVAL):
            source.sendto(flood.datagrams[sent % count], flood.destination)
            sent += 1
    return sent


def _count(sink: socket.socket, count: Count) -> float:
    """Return the datagrams received per second."""
    sink.settimeout(POLL_S)
    started = time.monotonic() + count.warm_up_s
    _receive_until(sink, started)
    received = _receive_until(sink, started + count.duration_s)
    return received / (time.monotonic() - started)


def _receive_until(sink: socket.socket, end: float) -> int:
    buffer, received = bytearray(2048), 0
    while received < MAX_DATAGRAMS:
        if received % CLOCK_CHECK_INTERVAL == 0 and time.monotonic() >= end:
            break
        try:
            sink.recv_into(buffer)
            received += 1
        except TimeoutError:
            if time.monotonic() >= end:
                break
    return received


def _open_flows(gateway: socket.socket, target: socket.socket, job: OpenFlows) -> float:
    """Return the flows opened and ended per second."""
    # Discard packets of earlier measurements that are still in the socket buffers.
    for leftover in (gateway, target):
        leftover.settimeout(POLL_S)
        _receive_until(leftover, time.monotonic() + POLL_S)
    callers = _Callers(gateway, target, job)
    started = time.monotonic() + job.warm_up_s
    callers.run(started)
    before = callers.ended
    callers.run(started + job.duration_s)
    return (callers.ended - before) / (time.monotonic() - started)


class _Callers:
    def __init__(self, gateway: socket.socket, target: socket.socket, job: OpenFlows) -> None:
        self._gateway, self._target, self._entry = gateway, target, job.entry
        self._opened = 0
        self.ended = 0
        gateway.setblocking(False)
        target.setblocking(False)
        for _ in range(job.max_open):
            self._open()

    def run(self, end: float) -> None:
        while time.monotonic() < end and self._opened < MAX_DATAGRAMS:
            ready, _, _ = select.select([self._gateway, self._target], [], [], POLL_S)
            if self._target in ready:
                self._drain(self._target, self._reply_as_target)
            if self._gateway in ready:
                self._drain(self._gateway, self._reply_as_caller)

    def _drain(self, source: socket.socket, reply) -> None:
        try:
            for _ in range(CLOCK_CHECK_INTERVAL):
                reply(source.recv(2048))
        except BlockingIOError:
            return

    def _open(self) -> None:
        flow = flow_of(self._opened)
        self._opened += 1
        packet = caller_packet(flow, SYN, CALLER_TOKEN, 0, HEADERS_BYTES)
        self._gateway.sendto(packet, self._entry)

    def _reply_as_target(self, packet: bytes) -> None:
        flow, flags = packet[12:24], packet[FLAGS_OFFSET]
        if flags == SYN:
            reply = target_packet(flow, SYN | ACK, TARGET_TOKEN, CALLER_TOKEN + 1, HEADERS_BYTES)
        else:
            reply = target_packet(
                flow, FIN | ACK, TARGET_TOKEN + 1, CALLER_TOKEN + 1, HEADERS_BYTES
            )
        self._target.sendto(reply, self._entry)

    def _reply_as_caller(self, packet: bytes) -> None:
        if packet[FLAGS_OFFSET] & FIN:
            self.ended += 1
            self._open()
            return
        flow = packet[16:20] + packet[12:16] + packet[22:24] + packet[20:22]
        reply = caller_packet(flow, ACK, CALLER_TOKEN + 1, TARGET_TOKEN + 1, HEADERS_BYTES)
        self._gateway.sendto(reply, self._entry)
