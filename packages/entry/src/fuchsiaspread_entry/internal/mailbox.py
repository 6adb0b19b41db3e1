"""Mailboxes through which tasks exchange messages."""

import asyncio
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Queue the messages of one task, which takes all of them at once, control messages first.

    The limit is on the sum of the messages' sizes, so that a queue of batches is bounded too.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: list[Message] = []
        self._size = 0
        self._control: list[Message] = []
        self._waiter: asyncio.Future[None] | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of queued messages."""
        return len(self._control) + len(self._messages)

    def put(self, message: Message, size: int = 1) -> bool:
        """Add a message; return False when the mailbox is full and the message is dropped."""
        if self._size >= self._limit:
            return False
        self._size += size
        self._messages.append(message)
        self._wake()
        return True

    def put_control(self, message: Message) -> None:
        """Add a message that must not be lost, ahead of those added by `put`.

        The limit does not apply, so only senders that send few messages may use it.
        """
        self._control.append(message)
        self._wake()

    async def take(self) -> list[Message]:
        """Wait for messages and return all of them."""
        if not self._control and not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._waiter = None
        taken = self._control + self._messages
        self._control, self._messages, self._size = [], [], 0
        return taken

    def take_control(self) -> list[Message]:
        """Return the control messages that have come since the last call, without waiting."""
        taken, self._control = self._control, []
        return taken

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
