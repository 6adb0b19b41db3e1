"""Length-prefixed requests and answers of the test application."""

import hashlib
import json
import struct
from dataclasses import asdict, dataclass

_LENGTH = struct.Struct("!I")


@dataclass(frozen=True, slots=True)
class Request:
    """Request work from a target; a message on a stream keeps the connection open."""

    identifier: str
    work_ms: int
    answer_bytes: int
    is_message: bool
    body: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request; the digest covers the identifier and the body."""

    identifier: str
    target: str
    body: str
    digest: str


def digest_of(identifier: str, body: str) -> str:
    """Return the digest of an answer."""
    return hashlib.blake2b(f"{identifier}:{body}".encode(), digest_size=8).hexdigest()


def make_answer(request: Request, target: str) -> Answer:
    """Return the answer of a target to a request."""
    body = (request.identifier * (request.answer_bytes // len(request.identifier) + 1))[
        : request.answer_bytes
    ]
    return Answer(request.identifier, target, body, digest_of(request.identifier, body))


def encode_message(message: Request | Answer) -> bytes:
    """Encode a message as a frame."""
    body = json.dumps(asdict(message)).encode()
    return _LENGTH.pack(len(body)) + body


class FrameReader:
    """Split received data into the bodies of frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received data and return the bodies of the frames that are complete."""
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
    """Decode a request; return None if the body is corrupt."""
    try:
        return Request(**json.loads(body))
    except (ValueError, TypeError):
        return None


def decode_answer(body: bytes) -> Answer | None:
    """Decode an answer; return None if the body is corrupt or its digest is wrong."""
    try:
        answer = Answer(**json.loads(body))
    except (ValueError, TypeError):
        return None
    return answer if answer.digest == digest_of(answer.identifier, answer.body) else None
