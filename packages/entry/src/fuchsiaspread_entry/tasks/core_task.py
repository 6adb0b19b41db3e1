"""Task that owns the entry core and its timer."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import assert_never

from fuchsiaspread_core.effects import (
    Effect,
    FetchParts,
    Notify,
    RefuseOpen,
    SendControl,
    SendRecords,
    SendToCaller,
    SendToPeer,
    SendToTarget,
    StopNow,
)
from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.events import ControlReceived, Event, MembersPublished, PacketEvent, Tick
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.notices import ConfigurationApplied, MemberChanged, Notice, ViewBecameStale
from fuchsiaspread_core.objectives import ObjectiveCounters
from fuchsiaspread_core.parts import ConfigurationCompiler

from ..internal.counts import CountKey, Metric
from ..internal.directory import Directory
from ..internal.log import Level, Log
from ..internal.mailboxes import Mailboxes
from ..internal.notice_log import count_key, log_notice
from ..internal.reporting import Reporter
from ..internal.reports import burn_body, flow_body, status_body, target_body
from ..internal.task_messages import (
    BurnAsked,
    CoreMessage,
    CoreQuestion,
    DirectoryChanged,
    EventsReceived,
    FlowAsked,
    LoadEndpointsChanged,
    PacketsReady,
    PacketsReceived,
    PartsAsked,
    PeerSends,
    QuestionFailed,
    ReadinessAsked,
    RefreshAsked,
    ServiceHostsChanged,
    StatusAsked,
    TargetAsked,
    TickDue,
)
from ..resets import encode_refusal

TICK_INTERVAL_S = 0.02
# A packet that was queued during a pause of the process must not be handled before the core has
# detected the pause, so a late tick is handled before the packets.
LATE_TICK_MS = 60
FAILED_EVENT = CountKey(Metric.EVENTS_FAILED)


@dataclass(frozen=True, slots=True)
class Identity:
    """Hold the identity of this entry VM and the other inputs of its core task.

    `seeds` are the entry VMs to contact first; `seed` is the seed of the random numbers.
    """

    member: Member
    site: str
    seeds: tuple[Member, ...]
    gateway: Endpoint
    seed: int


class CoreTask:
    """Pass events to the core and its effects to the other tasks."""

    def __init__(
        self,
        identity: Identity,
        compile_parts: ConfigurationCompiler,
        mailboxes: Mailboxes,
        log: Log,
        now_ms: Callable[[], int],
        on_stop: Callable[[], None],
    ) -> None:
        self._mailbox = mailboxes.core
        self._identity = identity
        self._core = EntryCore(identity.member, identity.seeds, compile_parts, identity.seed)
        self._objectives = ObjectiveCounters(now_ms())
        self._directory = Directory((*identity.seeds, identity.member))
        self._mailboxes = mailboxes
        self._log = log
        self._now_ms = now_ms
        self._on_stop = on_stop
        self._reporter = Reporter(mailboxes.admin)
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick_ms = now_ms()
        self._are_load_endpoints_outdated = False
        # Effects of all messages taken at once, which are sent as one batch per task.
        self._outgoing_packets: list[tuple[bytes, Endpoint]] = []
        self._outgoing_sends: list[SendToPeer | SendControl] = []

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self._reporter.start()
        self._start_timer()
        self._send_directory()
        try:
            while True:
                for message in await self._mailbox.take():
                    self._handle(message)
                self._flush()
                if self._are_load_endpoints_outdated:
                    self._are_load_endpoints_outdated = False
                    self._send_load_endpoints(self._now_ms())
        finally:
            self._reporter.stop()
            if self._timer is not None:
                self._timer.cancel()

    def _start_timer(self) -> None:
        self._mailbox.put(TickDue())
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._start_timer)

    def _handle(self, message: CoreMessage) -> None:
        now_ms = self._now_ms()
        match message:
            case PacketsReceived(events=packets):
                if now_ms - self._last_tick_ms > LATE_TICK_MS:
                    self._tick(now_ms)
                self._handle_packets(now_ms, packets)
            case EventsReceived(events=events):
                for event in events:
                    self._handle_event(now_ms, event)
            case TickDue():
                self._tick(now_ms)
            case _:
                self._answer_if_pending(now_ms, message)

    def _tick(self, now_ms: int) -> None:
        self._last_tick_ms = now_ms
        self._handle_event(now_ms, Tick())

    def _handle_packets(self, now_ms: int, packets: Sequence[PacketEvent]) -> None:
        handle, execute_effect, outgoing = (
            self._core.handle,
            self._execute_effect,
            self._outgoing_packets,
        )
        gateway = self._identity.gateway
        for packet in packets:
            try:
                for effect in handle(now_ms, packet):
                    # Most packets of open flows have only one of these two effects; testing for
                    # them here saves a call and a match statement per packet.
                    kind = effect.__class__
                    if kind is SendToTarget:
                        outgoing.append((effect.payload, effect.tunnel))
                    elif kind is SendToCaller:
                        outgoing.append((effect.payload, gateway))
                    else:
                        execute_effect(now_ms, effect)
            except Exception as error:
                # An error triggered by one packet would otherwise crash the entry VMs one after
                # another, since the fabric sends the packet's retransmission to the next one.
                self._report_failure(packet, error)

    def _handle_event(self, now_ms: int, event: Event) -> None:
        try:
            self._update_directory(event)
            for effect in self._core.handle(now_ms, event):
                self._execute_effect(now_ms, effect)
        except Exception as error:
            # A message from a peer must not crash this entry VM either.
            self._report_failure(event, error)

    def _update_directory(self, event: Event) -> None:
        match event:
            case ControlReceived(sender=sender, message=control):
                is_changed = self._directory.apply_updates(sender, control.updates)
            case MembersPublished(members=members):
                is_changed = self._directory.apply_listed(members)
            case _:
                return
        if is_changed:
            self._send_directory()

    def _execute_effect(self, now_ms: int, effect: Effect) -> None:
        match effect:
            case SendToTarget(tunnel=tunnel, payload=payload):
                self._outgoing_packets.append((payload, tunnel))
            case SendToCaller(payload=payload):
                self._outgoing_packets.append((payload, self._identity.gateway))
            case SendToPeer() | SendControl():
                self._outgoing_sends.append(effect)
            case Notify(notice=notice):
                self._handle_notice(now_ms, notice)
            case RefuseOpen(flow=flow, caller_token=token):
                self._outgoing_packets.append((encode_refusal(flow, token), self._identity.gateway))
            case FetchParts() | SendRecords():
                self._mailboxes.peer_service.put(effect)
            case StopNow():
                # Send the last packets before the tasks are stopped.
                self._flush()
                self._on_stop()
            case _:
                assert_never(effect)

    def _flush(self) -> None:
        if self._outgoing_packets:
            self._mailboxes.fabric.put(PacketsReady(self._outgoing_packets))
            self._outgoing_packets = []
        if self._outgoing_sends:
            self._mailboxes.peer.put(PeerSends(self._outgoing_sends))
            self._outgoing_sends = []

    def _handle_notice(self, now_ms: int, notice: Notice) -> None:
        self._reporter.counts[count_key(notice)] += 1
        log_notice(self._log, notice)
        self._objectives.record(now_ms, notice)
        match notice:
            case ConfigurationApplied():
                self._send_service_hosts()
                self._are_load_endpoints_outdated = True
            case MemberChanged():
                self._are_load_endpoints_outdated = True
            case ViewBecameStale():
                self._mailboxes.platform.put(RefreshAsked())

    def _send_service_hosts(self) -> None:
        configuration = self._core.configuration
        if configuration is None:
            return
        self._objectives.configure(configuration)
        hosts = frozenset(
            IPv4Address(address.endpoint.host).packed
            for service in configuration.services
            for address in service.addresses
        )
        self._mailboxes.fabric.put_control(ServiceHostsChanged(hosts))

    def _send_load_endpoints(self, now_ms: int) -> None:
        """Send the endpoints to poll to the load task; only the manager of a target polls it."""
        configuration, local_name = self._core.configuration, self._identity.member.name
        if configuration is None:
            return
        statuses = self._core.status(now_ms).targets
        managed = frozenset(status.name for status in statuses if status.manager == local_name)
        endpoints = tuple(
            (target.name, target.load_endpoint)
            for service in configuration.services
            for target in service.targets
            if target.load_endpoint is not None and target.name in managed
        )
        self._mailboxes.load.put(LoadEndpointsChanged(endpoints))

    def _send_directory(self) -> None:
        changed = DirectoryChanged(self._directory.members())
        self._mailboxes.peer.put_control(changed)
        self._mailboxes.peer_service.put_control(changed)

    def _report_failure(self, cause: Event | CoreQuestion, error: Exception) -> None:
        self._reporter.counts[FAILED_EVENT] += 1
        fields = {"kind": type(cause).__name__, "cause": repr(error)}
        self._log.write(Level.ERROR, "event_failed", **fields)

    def _answer_if_pending(self, now_ms: int, question: CoreQuestion) -> None:
        # The requesting task cancels the future when its timeout expires.
        if question.reply.done():
            return
        try:
            self._answer(now_ms, question)
        except Exception as error:
            # An error in a report must not stop the forwarding of packets.
            self._report_failure(question, error)
            question.reply.set_exception(QuestionFailed())

    def _answer(self, now_ms: int, question: CoreQuestion) -> None:
        match question:
            case PartsAsked(reply=reply):
                reply.set_result((self._core.in_force_parts, self._core.newest_parts))
            case StatusAsked(reply=reply):
                status, configuration = self._core.status(now_ms), self._core.configuration
                reply.set_result(status_body(self._identity.site, status, configuration))
            case ReadinessAsked(reply=reply):
                reply.set_result(self._core.is_ready)
            case BurnAsked(reply=reply):
                reply.set_result(burn_body(self._objectives.snapshot(now_ms)))
            case FlowAsked(flow=flow, reply=reply):
                reply.set_result(flow_body(flow, self._core.explain_flow(flow)))
            case TargetAsked(target=target, reply=reply):
                reply.set_result(target_body(target, self._core.explain_target(now_ms, target)))
            case _:
                assert_never(question)
