"""Requests and answers of the stand-in application, framed by their length."""

import hashlib
import json
import struct
from dataclasses import asdict, dataclass

_LENGTH = struct.Struct("!I")


@dataclass(frozen=True, slots=True)
class Request:
    """Ask a target for work; a message on a stream keeps the connection open."""

    identifier: str
    work_ms: int
    answer_bytes: int
    is_message: bool
    body: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a request; the digest covers identifier and body."""

    identifier: str
    target: str
    body: str
    digest: str


def digest_of(identifier: str, body: str) -> str:
    """Return the checksum of an answer."""
    return hashlib.blake2b(f"{identifier}:{body}".encode(), digest_size=8).hexdigest()


def answer_to(request: Request, target: str) -> Answer:
    """Return the whole answer to a request."""
    body = (request.identifier * (request.answer_bytes // len(request.identifier) + 1))[
        : request.answer_bytes
    ]
    return Answer(request.identifier, target, body, digest_of(request.identifier, body))


def encode_message(message: Request | Answer) -> bytes:
    """Return the frame of a message."""
    body = json.dumps(asdict(message)).encode()
    return _LENGTH.pack(len(body)) + body


class FrameReader:
    """Split received data into the bodies of frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take data and return the bodies that are complete."""
        self._buffer += data
        bodies = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            bodies.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return bodies


def decode_request(body: bytes) -> Request | None:
    """Return a request, or None when the body is damaged."""
    try:
        return Request(**json.loads(body))
    except (ValueError, TypeError):
        return None


def decode_answer(body: bytes) -> Answer | None:
    """Return an answer, or None when the body is damaged or its digest is wrong."""
    try:
        answer = Answer(**json.loads(body))
    except (ValueError, TypeError):
        return None
    return answer if answer.digest == digest_of(answer.identifier, answer.body) else None
