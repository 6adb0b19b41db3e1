"""Stand-in for the platform's metadata store: paged reads, watches, history (PROTOCOL.md)."""

import asyncio
import base64
import json
import os
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500
# "At most about 500 items or 1 MB" is said of reads; the users' bench answers watches in such parts
# as well. WATCH_LIMIT=0 lifts the limit for watches.
ANSWER_BYTES = 1_000_000
WATCH_BYTES = ANSWER_BYTES if os.environ.get("WATCH_LIMIT", "1") != "0" else 10**12


@dataclass(slots=True)
class Item:
    """A key with its last change."""

    key: str
    value: bytes | None
    revision: int
    create_revision: int
    at: float

    def as_json(self) -> dict[str, object]:
        """Return the item as an event or a read shows it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        text = base64.b64encode(self.value).decode()
        return {
            "key": self.key, "value": text, "revision": self.revision,
            "createRevision": self.create_revision, "lease": 0,
        }  # fmt: skip


class Store:
    """The store; each entry daemon has a listener of its own, so that it can be cut off alone."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._forgotten = 100
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        # Ports whose callers get 503 until they are removed from the set.
        self.refused: set[int] = set()
        self.calls = 0
        # The bandwidth of a daemon's own link; 0 for no limit.
        self.link_bytes_per_s = 0.0

    async def listen(self, host: str) -> int:
        """Open a listener and return its port."""
        port = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, port)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return port

    def value_bytes(self, key: str) -> int:
        """Return the size of a key's value."""
        return len(self._items[key].value or b"")

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def put(self, key: str, value: object) -> float:
        """Write a key; None deletes it. Return the time of the acknowledgement."""
        raw = (
            None
            if value is None
            else value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        async with self._changed:
            self.revision += 1
            former = self._items.get(key)
            created = former.create_revision if former else self.revision
            item = Item(key, raw, self.revision, created, time.monotonic())
            if raw is None:
                self._items.pop(key, None)
            else:
                self._items[key] = item
            self._history.append(item)
            while self._history and self._history[0].at < time.monotonic() - HISTORY_S:
                self._forgotten = self._history.pop(0).revision
            self._changed.notify_all()
        return time.monotonic()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            url = urlsplit(head.split(b" ", 2)[1].decode())
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            self.calls += 1
            await asyncio.sleep(ANSWER_S)
            if port in self.refused:
                status, body = 503, {}
            elif url.path == "/kv-range":
                status, body = 200, self._range(query.get("prefix", ""), query.get("after", ""))
            elif url.path == "/kv-watch":
                status, body = await self._watch(query, port)
            else:
                status, body = 404, {}
            content = json.dumps(body).encode()
            head = (
                f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
            ).encode()
            await self._write(writer, head + content)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        """Write an answer at the rate of the link."""
        if not self.link_bytes_per_s:
            writer.write(content)
            await writer.drain()
            return
        begin, sent = time.monotonic(), 0
        while sent < len(content):
            due = min(len(content), int((time.monotonic() - begin) * self.link_bytes_per_s) + 1500)
            if due > sent:
                writer.write(content[sent:due])
                await writer.drain()
                sent = due
            await asyncio.sleep(0.005)

    def _range(self, prefix: str, after: str) -> dict[str, object]:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        shown = _fit([self._items[key] for key in keys], ANSWER_BYTES)
        return {
            "items": [item.as_json() for item in shown],
            "truncated": len(shown) < len(keys),
            "storeRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str], port: int) -> tuple[int, dict[str, object]]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        if after < self._forgotten:
            return 410, {}

        def found() -> list[Item]:
            if port in self.refused:
                return []
            return [
                one for one in self._history if one.revision > after and one.key.startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: port in self.refused or found())
        except TimeoutError:
            pass
        if port in self.refused:
            return 503, {}
        events = found()
        shown = _fit(events, WATCH_BYTES)
        revision = shown[-1].revision if len(shown) < len(events) else self.revision
        return 200, {"events": [one.as_json() for one in shown], "storeRevision": revision}


def _fit(items: list[Item], limit_bytes: int) -> list[Item]:
    """Return as many of the items as one answer holds, at least one."""
    total, shown = 0, []
    for item in items[:PAGE_ITEMS]:
        total += len(item.value or b"") * 4 // 3 + 100
        if shown and total > limit_bytes:
            break
        shown.append(item)
    return shown
