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
# A packet that waited behind a pause of the process must not be decided before the core knows of
# the pause, so a late tick goes before the packets.
LATE_TICK_MS = 60
FAILED_EVENT = CountKey(Metric.EVENTS_FAILED)


@dataclass(frozen=True, slots=True)
class Identity:
    """Hold who this entry VM is and whom it knows from its settings."""

    member: Member
    site: str
    seeds: tuple[Member, ...]
    gateway: Endpoint
    seed: int


class CoreTask:
    """Hand events to the core and its effects to the other tasks."""

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
        self._have_routes_changed = False
        # Effects of the messages taken together, handed on as one batch for each task.
        self._packets: list[tuple[bytes, Endpoint]] = []
        self._sends: list[SendToPeer | SendControl] = []

    async def run(self) -> None:
        """Take messages until cancelled."""
        self._reporter.start()
        self._start_timer()
        self._tell_directory()
        try:
            while True:
                for message in await self._mailbox.take():
                    self._handle(message)
                self._flush()
                if self._have_routes_changed:
                    self._have_routes_changed = False
                    self._tell_load_endpoints(self._now_ms())
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
                self._take_packets(now_ms, packets)
            case EventsReceived(events=events):
                for event in events:
                    self._take_event(now_ms, event)
            case TickDue():
                self._tick(now_ms)
            case _:
                self._answer_once(now_ms, message)

    def _tick(self, now_ms: int) -> None:
        self._last_tick_ms = now_ms
        self._take_event(now_ms, Tick())

    def _take_packets(self, now_ms: int, packets: Sequence[PacketEvent]) -> None:
        handle, carry_out, ready = self._core.handle, self._carry_out, self._packets
        gateway = self._identity.gateway
        for packet in packets:
            try:
                for effect in handle(now_ms, packet):
                    # Most packets of open flows have one of these effects alone; testing for
                    # them here saves a call and the match for each packet.
                    kind = effect.__class__
                    if kind is SendToTarget:
                        ready.append((effect.payload, effect.tunnel))
                    elif kind is SendToCaller:
                        ready.append((effect.payload, gateway))
                    else:
                        carry_out(now_ms, effect)
            except Exception as error:
                # A fault that one packet triggers would otherwise end the entry VMs one after
                # another, as the fabric sends the packet's retransmission to the next.
                self._note_failure(packet, error)

    def _take_event(self, now_ms: int, event: Event) -> None:
        match event:
            case ControlReceived(sender=sender, message=control):
                if self._directory.hear(sender, control.updates):
                    self._tell_directory()
            case MembersPublished(members=members):
                if self._directory.publish(members):
                    self._tell_directory()
        try:
            for effect in self._core.handle(now_ms, event):
                self._carry_out(now_ms, effect)
        except Exception as error:
            # A peer's message must not end this entry VM either.
            self._note_failure(event, error)

    def _carry_out(self, now_ms: int, effect: Effect) -> None:
        match effect:
            case SendToTarget(tunnel=tunnel, payload=payload):
                self._packets.append((payload, tunnel))
            case SendToCaller(payload=payload):
                self._packets.append((payload, self._identity.gateway))
            case SendToPeer() | SendControl():
                self._sends.append(effect)
            case Notify(notice=notice):
                self._note(now_ms, notice)
            case RefuseOpen(flow=flow, caller_token=token):
                self._packets.append((encode_refusal(flow, token), self._identity.gateway))
            case FetchParts() | SendRecords():
                self._mailboxes.peer_service.put(effect)
            case StopNow():
                # The last packets leave before the tasks are ended.
                self._flush()
                self._on_stop()
            case _:
                assert_never(effect)

    def _flush(self) -> None:
        if self._packets:
            self._mailboxes.fabric.put(PacketsReady(self._packets))
            self._packets = []
        if self._sends:
            self._mailboxes.peer.put(PeerSends(self._sends))
            self._sends = []

    def _note(self, now_ms: int, notice: Notice) -> None:
        self._reporter.counts[count_key(notice)] += 1
        log_notice(self._log, notice)
        self._objectives.record(now_ms, notice)
        match notice:
            case ConfigurationApplied():
                self._tell_service_hosts()
                self._have_routes_changed = True
            case MemberChanged():
                self._have_routes_changed = True
            case ViewBecameStale():
                self._mailboxes.platform.put(RefreshAsked())

    def _tell_service_hosts(self) -> None:
        configuration = self._core.configuration
        if configuration is None:
            return
        self._objectives.configure(configuration)
        hosts = frozenset(
            IPv4Address(address.endpoint.host).packed
            for service in configuration.services
            for address in service.addresses
        )
        self._mailboxes.fabric.put(ServiceHostsChanged(hosts))

    def _tell_load_endpoints(self, now_ms: int) -> None:
        """Tell the load task whom to ask: only a target's manager uses its hints."""
        configuration, me = self._core.configuration, self._identity.member.name
        if configuration is None:
            return
        statuses = self._core.status(now_ms).targets
        managed = frozenset(status.name for status in statuses if status.manager == me)
        endpoints = tuple(
            (target.name, target.load_endpoint)
            for service in configuration.services
            for target in service.targets
            if target.load_endpoint is not None and target.name in managed
        )
        self._mailboxes.load.put(LoadEndpointsChanged(endpoints))

    def _tell_directory(self) -> None:
        changed = DirectoryChanged(self._directory.members())
        self._mailboxes.peer.put(changed)
        self._mailboxes.peer_service.put(changed)

    def _note_failure(self, cause: Event | CoreQuestion, error: Exception) -> None:
        self._reporter.counts[FAILED_EVENT] += 1
        fields = {"kind": type(cause).__name__, "cause": repr(error)}
        self._log.write(Level.ERROR, "event_failed", **fields)

    def _answer_once(self, now_ms: int, question: CoreQuestion) -> None:
        # The asker has given up when its time limit has passed.
        if question.reply.done():
            return
        try:
            self._answer(now_ms, question)
        except Exception as error:
            # A fault in a report must not end the forwarding of packets.
            self._note_failure(question, error)
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
