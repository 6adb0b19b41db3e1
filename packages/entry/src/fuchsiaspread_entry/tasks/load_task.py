"""Task that polls the load endpoints of targets."""

import asyncio
from random import Random

from fuchsiaspread_core.events import LoadReported
from fuchsiaspread_core.identifiers import Endpoint, TargetName
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..internal.mailboxes import Mailboxes
from ..internal.task_messages import EventsReceived

# The polled load is a hint; the packets of a target give more information in the same time.
POLL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 0.5
MAX_REQUESTS = 32
MAX_BODY_BYTES = 4096
MAX_BUSY_SLOTS = 1_000_000


class LoadModel(BaseModel):
    """Response body of a target's load endpoint."""

    model_config = ConfigDict(extra="ignore", strict=True)

    busy_slots: int = Field(ge=0, le=MAX_BUSY_SLOTS)
    is_shedding: bool = False


def decode_load(target: TargetName, body: bytes) -> LoadReported | None:
    """Decode the response body of a load endpoint; return None when it is malformed."""
    try:
        load = LoadModel.model_validate_json(body)
    except ValidationError:
        return None
    return LoadReported(target, load.busy_slots, load.is_shedding)


class LoadTask:
    """Poll the load of each managed target once per round."""

    def __init__(self, seed: int, mailboxes: Mailboxes) -> None:
        self._mailbox = mailboxes.load
        self._core = mailboxes.core
        self._random = Random(seed)
        self._endpoints: tuple[tuple[TargetName, Endpoint], ...] = ()

    async def run(self) -> None:
        """Poll until cancelled."""
        client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_REQUESTS, max_body_size=MAX_BODY_BYTES
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive())
                group.create_task(self._poll_in_rounds(client))
        finally:
            client.close()

    async def _receive(self) -> None:
        while True:
            for message in await self._mailbox.take():
                self._endpoints = message.endpoints

    async def _poll_in_rounds(self, client: SimpleAsyncHTTPClient) -> None:
        while True:
            # Jitter keeps the managers of a site from polling at the same moments.
            await asyncio.sleep(POLL_INTERVAL_S * self._random.uniform(0.8, 1.2))
            fetches = [
                self._fetch_load(client, name, endpoint) for name, endpoint in self._endpoints
            ]
            results = await asyncio.gather(*fetches)
            reports = [result for result in results if result is not None]
            if reports:
                self._core.put(EventsReceived(reports))

    async def _fetch_load(
        self, client: SimpleAsyncHTTPClient, name: TargetName, endpoint: Endpoint
    ) -> LoadReported | None:
        url = f"http://{endpoint.host}:{endpoint.port}/load"
        try:
            response = await client.fetch(
                url,
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
                follow_redirects=False,
            )
        except (HTTPError, OSError, ValueError):
            # Without a load report, the core assesses the target by its packets.
            return None
        return decode_load(name, response.body)
