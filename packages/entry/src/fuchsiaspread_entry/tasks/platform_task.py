"""Task that watches the platform's keys for the configuration and the entry VMs."""

import asyncio
from dataclasses import dataclass
from random import Random

from fuchsiaspread_configuration import InvalidMembers, MembersList, parse_members
from fuchsiaspread_core.events import Event, MembersPublished, PartPublished
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import Part, PartName
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..internal.consul import (
    INDEX_HEADER,
    MAX_BODY_BYTES,
    BadAnswer,
    Missing,
    Published,
    decode_answer,
    next_watch_index,
    watch_url,
)
from ..internal.log import Level, Log
from ..internal.mailboxes import Mailboxes
from ..internal.shared_backoff import SharedBackoff
from ..internal.task_messages import EventsReceived, PlatformReached

# A watch that times out without a change costs one call: 5,400 daemons with 3 keys make 270 calls
# a second, and the platform can serve 2,000. A longer wait would delay the detection of a
# dead platform.
WAIT_S = 60
# Consul extends the wait time by up to a sixteenth; the rest allows for a slow response.
WATCH_TIMEOUT_S = WAIT_S * 17 / 16 + 10
READ_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
# Without a pause, a platform that returns old data at once would be called in a busy loop.
MIN_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class PartKey:
    """Hold the key of a configuration part."""

    part: PartName
    key: str


@dataclass(frozen=True, slots=True)
class MembersKey:
    """Hold the key of the list of entry VMs."""

    key: str


WatchedKey = PartKey | MembersKey


def watched_keys(site: str) -> tuple[WatchedKey, ...]:
    """Return the keys that an entry VM of a site watches."""
    return (
        PartKey(PartName.BASE, "fuchsiaspread/base"),
        PartKey(PartName.OVERLAY, f"fuchsiaspread/sites/{site}"),
        MembersKey(f"fuchsiaspread/members/{site}"),
    )


class PlatformTask:
    """Keep one watch (blocking query) pending per key and send changes to the core task."""

    def __init__(
        self,
        site: str,
        platform: tuple[Endpoint, ...],
        seed: int,
        mailboxes: Mailboxes,
        log: Log,
    ) -> None:
        self._keys = watched_keys(site)
        self._platform = platform
        self._random = Random(seed)
        self._mailbox = mailboxes.platform
        self._core = mailboxes.core
        self._admin = mailboxes.admin
        self._log = log
        self._backoff = SharedBackoff(self._random)
        self._reachable: dict[str, bool] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        # Each key has one pending watch and at most one other read.
        client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=2 * len(self._keys), max_body_size=MAX_BODY_BYTES
        )
        try:
            async with asyncio.TaskGroup() as watches:
                watches.create_task(self._refresh_on_request(client))
                for key in self._keys:
                    watches.create_task(self._watch(client, key))
        finally:
            client.close()

    async def _refresh_on_request(self, client: AsyncHTTPClient) -> None:
        """Read all keys on request: after a pause, a response proves that the view is fresh."""
        while True:
            await self._mailbox.take()
            for key in self._keys:
                address = self._random.choice(self._platform)
                answer = await self._fetch(
                    client, watch_url(address, key.key, 0, WAIT_S), READ_TIMEOUT_S
                )
                if isinstance(answer, Published):
                    self._publish(key, answer)

    async def _watch(self, client: AsyncHTTPClient, key: WatchedKey) -> None:
        address_number, watch_index, published_index = (
            self._random.randrange(len(self._platform)),
            0,
            0,
        )
        while True:
            address = self._platform[address_number % len(self._platform)]
            url = watch_url(address, key.key, watch_index, WAIT_S)
            answer = await self._fetch(client, url, WATCH_TIMEOUT_S)
            self._report_reachability(key, address, answer)
            if isinstance(answer, BadAnswer):
                # The index is valid for the server that returned it; another one may be behind.
                address_number, watch_index = address_number + 1, 0
                await self._backoff.wait(key.key)
                continue
            self._backoff.record_success(key.key)
            watch_index = next_watch_index(watch_index, answer.watch_index)
            if isinstance(answer, Published) and answer.index != published_index:
                published_index = answer.index
                self._publish(key, answer)
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MIN_PAUSE_S * 2))

    async def _fetch(
        self, client: AsyncHTTPClient, url: str, timeout_s: float
    ) -> Published | Missing | BadAnswer:
        try:
            response = await client.fetch(
                url,
                raise_error=False,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout_s,
                follow_redirects=False,
            )
        except (HTTPError, OSError, ValueError) as error:
            return BadAnswer(str(error) or type(error).__name__)
        if response.code not in (200, 404):
            return BadAnswer(f"HTTP status {response.code}")
        return decode_answer(response.code, response.headers.get(INDEX_HEADER, ""), response.body)

    def _publish(self, key: WatchedKey, published: Published) -> None:
        event = self._event(key, published)
        if event is not None:
            self._core.put_control(EventsReceived([event]))

    def _event(self, key: WatchedKey, published: Published) -> Event | None:
        match key:
            case PartKey(part=part):
                return PartPublished(Part(part, published.index, published.content))
            case MembersKey():
                match parse_members(published.content, key.key):
                    case MembersList(entries=entries):
                        self._backoff.set_site_size(len(entries))
                        return MembersPublished(tuple(entry.member() for entry in entries))
                    case InvalidMembers(faults=faults):
                        for fault in faults:
                            self._log.write(
                                Level.ERROR,
                                "members_refused",
                                file=fault.file,
                                key=fault.key,
                                problem=fault.problem,
                                remedy=fault.remedy,
                            )
                        return None

    def _report_reachability(
        self, key: WatchedKey, address: Endpoint, answer: Published | Missing | BadAnswer
    ) -> None:
        is_reachable = not isinstance(answer, BadAnswer)
        if self._reachable.get(key.key) != is_reachable:
            platform = f"{address.host}:{address.port}"
            fields = {"key": key.key, "platform": platform}
            if isinstance(answer, BadAnswer):
                fields["cause"] = answer.cause
            level, event = (
                (Level.INFO, "platform_reached")
                if is_reachable
                else (Level.WARNING, "platform_unreachable")
            )
            self._log.write(level, event, **fields)
        self._reachable[key.key] = is_reachable
        self._admin.put(PlatformReached(any(self._reachable.values())))
