"""Mailboxes through which tasks exchange messages."""

import asyncio
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Queue the messages of one task, which takes all of them at once."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: list[Message] = []
        self._waiter: asyncio.Future[None] | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of queued messages."""
        return len(self._messages)

    def put(self, message: Message) -> bool:
        """Add a message; return False when the mailbox is full and the message is dropped."""
        if len(self._messages) >= self._limit:
            return False
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        return True

    async def take(self) -> list[Message]:
        """Wait for messages and return all of them."""
        if not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._waiter = None
        taken, self._messages = self._messages, []
        return taken
