"""Task that watches the platform's keys."""

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
from ..internal.retry_turns import RetryTurns
from ..internal.task_messages import EventsReceived, PlatformReached

# Each return without a change costs one call. 5,400 daemons with 3 keys make 270 calls a second,
# of the 2,000 that the platform serves; a longer wait would hide a dead platform for longer.
WAIT_S = 60
# Consul adds up to a sixteenth of the wait time; the rest covers a slow answer.
WATCH_S = WAIT_S * 17 / 16 + 10
READ_S = 2.0
CONNECT_TIMEOUT_S = 2.0
# Without a pause a platform that answers at once with old data would be called in a loop.
MIN_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class PartKey:
    """Name the key of a part of the configuration."""

    part: PartName
    key: str


@dataclass(frozen=True, slots=True)
class MembersKey:
    """Name the key of the list of entry VMs."""

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
    """Keep one pending watch on each key and hand changes to the core task."""

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
        self._turns = RetryTurns(self._random)
        self._reachable: dict[str, bool] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        # Each key has a pending watch and at most one other read.
        client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=2 * len(self._keys), max_body_size=MAX_BODY_BYTES
        )
        try:
            async with asyncio.TaskGroup() as watches:
                watches.create_task(self._refresh(client))
                for key in self._keys:
                    watches.create_task(self._watch(client, key))
        finally:
            client.close()

    async def _refresh(self, client: AsyncHTTPClient) -> None:
        """Read the keys when asked: after a pause, an answer proves that the view is fresh."""
        while True:
            await self._mailbox.take()
            for key in self._keys:
                address = self._random.choice(self._platform)
                answer = await self._ask(client, watch_url(address, key.key, 0, WAIT_S), READ_S)
                if isinstance(answer, Published):
                    self._publish(key, answer)

    async def _watch(self, client: AsyncHTTPClient, key: WatchedKey) -> None:
        address_number, watch_index, seen_index = self._random.randrange(len(self._platform)), 0, 0
        while True:
            address = self._platform[address_number % len(self._platform)]
            url = watch_url(address, key.key, watch_index, WAIT_S)
            answer = await self._ask(client, url, WATCH_S)
            self._note_reachability(key, address, answer)
            if isinstance(answer, BadAnswer):
                # The index belongs to the server that gave it; another one may be behind.
                address_number, watch_index = address_number + 1, 0
                await self._turns.wait(key.key)
                continue
            self._turns.note_success(key.key)
            watch_index = next_watch_index(watch_index, answer.watch_index)
            if isinstance(answer, Published) and answer.index != seen_index:
                seen_index = answer.index
                self._publish(key, answer)
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MIN_PAUSE_S * 2))

    async def _ask(
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
            self._core.put(EventsReceived([event]))

    def _event(self, key: WatchedKey, published: Published) -> Event | None:
        match key:
            case PartKey(part=part):
                return PartPublished(Part(part, published.index, published.content))
            case MembersKey():
                match parse_members(published.content, key.key):
                    case MembersList(entries=entries):
                        self._turns.set_site_size(len(entries))
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

    def _note_reachability(
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
