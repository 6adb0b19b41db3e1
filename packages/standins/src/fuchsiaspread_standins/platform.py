"""The platform's configuration service: Consul's key-value HTTP API with blocking queries."""

import asyncio
import base64
import re
from dataclasses import dataclass, field
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_WAIT_S = 300.0
MAX_WAIT_S = 600.0
WAIT_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}


@dataclass(frozen=True, slots=True)
class Healthy:
    """Answer immediately with the newest values."""


@dataclass(frozen=True, slots=True)
class Down:
    """Accept no connections."""


@dataclass(frozen=True, slots=True)
class Stale:
    """Answer with the values from the time when this condition was set."""


@dataclass(frozen=True, slots=True)
class Slow:
    """Delay each answer."""

    delay_ms: int


Condition = Healthy | Down | Stale | Slow


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Hold a value and the index of its last change."""

    value: bytes
    index: int


class EntryBody(BaseModel):
    """Schema of a key in an answer; the field names are those of Consul."""

    Key: str
    Value: str
    ModifyIndex: int
    CreateIndex: int
    LockIndex: int = 0
    Flags: int = 0


@dataclass(slots=True)
class Store:
    """Hold the values by key; while the service is stale, `visible` keeps the older values."""

    index: int = 1
    entries: dict[str, StoredValue] = field(default_factory=dict)
    visible: dict[str, StoredValue] = field(default_factory=dict)

    def put(self, key: str, value: bytes) -> int:
        """Set a value and return its index."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
        self.index += 1
        self.entries[key] = StoredValue(value, self.index)
        return self.index

    def make_visible(self) -> None:
        """Make the newest values visible."""
        self.visible = dict(self.entries)


def parse_wait_s(text: str) -> float:
    """Parse a wait time such as `500ms`, `10s` or `5m` into seconds."""
    match_ = re.fullmatch(r"(\d+)(ms|s|m)", text)
    if match_ is None:
        return DEFAULT_WAIT_S
    return min(MAX_WAIT_S, int(match_[1]) * WAIT_UNITS_S[match_[2]])


class Platform:
    """Own the store and the HTTP server; handlers run in the same event loop."""

    def __init__(self, listen: Endpoint) -> None:
        self.store = Store()
        self.call_count = 0
        self.called = asyncio.Event()
        self.condition: Condition = Healthy()
        self._watches: set[asyncio.Event] = set()
        self._application = Application([("/v1/kv/(.+)", KeyHandler, {"platform": self})])
        self._server: HTTPServer | None = None
        self.endpoint = self._listen(listen)

    def publish(self, key: str, value: bytes) -> int:
        """Set a value, as operators do, and return its index."""
        index = self.store.put(key, value)
        if not isinstance(self.condition, Stale):
            self._make_visible()
        return index

    async def set_condition(self, condition: Condition) -> None:
        """Set the condition of the service."""
        self.condition = condition
        match condition:
            case Down():
                await self.stop()
            case Stale():
                self._reopen()
            case Healthy() | Slow():
                self._reopen()
                self._make_visible()
            case _:
                assert_never(condition)

    async def stop(self) -> None:
        """Close the server and its connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    async def watch(self, event: asyncio.Event, limit_s: float) -> None:
        """Wait up to `limit_s` for the event, which a visible change or its owner sets."""
        self._watches.add(event)
        try:
            await asyncio.wait_for(event.wait(), limit_s)
        except TimeoutError:
            return
        finally:
            self._watches.discard(event)

    def _make_visible(self) -> None:
        self.store.make_visible()
        for event in self._watches:
            event.set()

    def _reopen(self) -> None:
        if self._server is None:
            self._listen(self.endpoint)

    def _listen(self, listen: Endpoint) -> Endpoint:
        sockets = bind_sockets(listen.port, listen.host)
        self._server = HTTPServer(self._application)
        self._server.add_sockets(sockets)
        return Endpoint(*sockets[0].getsockname()[:2])


class KeyHandler(RequestHandler):
    """Answer reads and blocking queries of a key."""

    def initialize(self, platform: Platform) -> None:
        """Set the platform that the handler reads from."""
        self._platform = platform
        self._is_closed = False
        self._wake_up = asyncio.Event()

    def on_connection_close(self) -> None:
        """Record that the client has disconnected and wake up `get`."""
        self._is_closed = True
        self._wake_up.set()

    async def get(self, key: str) -> None:
        """Answer once the index of the key differs from the given one or the wait time is over."""
        platform = self._platform
        platform.call_count += 1
        platform.called.set()
        index = int(self.get_query_argument("index", "0"))
        limit_s = parse_wait_s(self.get_query_argument("wait", ""))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while index > 0 and self._index_of(key) == index and loop.time() < end_s:
            if self._is_closed:
                return
            await platform.watch(self._wake_up, end_s - loop.time())
            if not self._is_closed:
                self._wake_up.clear()
        match platform.condition:
            case Slow(delay_ms):
                await asyncio.sleep(delay_ms / 1000)
            case _:
                pass
        if not self._is_closed:
            self._answer(key)

    def _index_of(self, key: str) -> int:
        entry = self._platform.store.visible.get(key)
        return entry.index if entry is not None else 1

    def _answer(self, key: str) -> None:
        entry = self._platform.store.visible.get(key)
        self.set_header("X-Consul-Index", str(self._index_of(key)))
        self.set_header("Content-Type", "application/json")
        if entry is None:
            self.set_status(404)
            self.finish()
            return
        body = EntryBody(
            Key=key,
            Value=base64.b64encode(entry.value).decode(),
            ModifyIndex=entry.index,
            CreateIndex=entry.index,
        )
        self.finish(f"[{body.model_dump_json()}]")
