"""Authenticate gRPC calls between entry VMs by an authentication tag in their metadata."""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from fuchsiaspread_core.identifiers import EntryName

from .authentication import TAG_LENGTH_BYTES, Keyring
from .peer_fields import MAX_NAME_LENGTH, PeerFault

DIGEST_LENGTH_BYTES = 16
MAX_NUMBER_DIGITS = 20
HEADER_PREFIX = "fuchsiaspread-"


@dataclass(frozen=True, slots=True)
class CallClaims:
    """Hold the authenticated fields of a call; `digest` is the hash of the request or response.

    `receiver_boot` is the boot number that the sender knows of the receiver, or 0.
    """

    sender: EntryName
    receiver: EntryName
    boot: int
    sequence: int
    digest: bytes
    receiver_boot: int = 0


def digest_of(content: bytes) -> bytes:
    """Return the hash of a request or a response."""
    return blake2b(content, digest_size=DIGEST_LENGTH_BYTES).digest()


def sign_call(keyring: Keyring, method: str, claims: CallClaims) -> dict[str, str]:
    """Return the metadata that authenticate a call."""
    return {
        f"{HEADER_PREFIX}sender": claims.sender,
        f"{HEADER_PREFIX}receiver": claims.receiver,
        f"{HEADER_PREFIX}boot": str(claims.boot),
        f"{HEADER_PREFIX}sequence": str(claims.sequence),
        f"{HEADER_PREFIX}digest": claims.digest.hex(),
        f"{HEADER_PREFIX}receiver-boot": str(claims.receiver_boot),
        f"{HEADER_PREFIX}key": str(keyring.signing_id),
        f"{HEADER_PREFIX}tag": keyring.tag(_signed_bytes(method, claims)).hex(),
    }


def verify_call(
    keyring: Keyring, method: str, metadata: Mapping[str, object]
) -> CallClaims | PeerFault:
    """Verify the metadata of a call; return its claims, or why the call is rejected."""
    fields = {name: metadata.get(HEADER_PREFIX + name) for name in METADATA_FIELDS}
    texts = {name: value for name, value in fields.items() if isinstance(value, str)}
    if len(texts) < len(METADATA_FIELDS):
        return PeerFault.MALFORMED
    if not (_is_name(texts["sender"]) and _is_name(texts["receiver"])):
        return PeerFault.MALFORMED
    numbers = [texts[name] for name in ("boot", "sequence", "receiver-boot", "key")]
    if not all(map(_is_number, numbers)):
        return PeerFault.MALFORMED
    digest = _parse_hex(texts["digest"], DIGEST_LENGTH_BYTES)
    tag = _parse_hex(texts["tag"], TAG_LENGTH_BYTES)
    if digest is None or tag is None:
        return PeerFault.MALFORMED
    boot, sequence, receiver_boot, key_id = map(int, numbers)
    sender, receiver = EntryName(texts["sender"]), EntryName(texts["receiver"])
    claims = CallClaims(sender, receiver, boot, sequence, digest, receiver_boot)
    fault = keyring.verify_tag(key_id, tag, _signed_bytes(method, claims))
    return claims if fault is None else fault


METADATA_FIELDS = (
    "sender",
    "receiver",
    "boot",
    "sequence",
    "digest",
    "receiver-boot",
    "key",
    "tag",
)


def _signed_bytes(method: str, claims: CallClaims) -> bytes:
    # One line per field, which is unambiguous since no field can contain a line break.
    numbers = (
        str(claims.boot),
        str(claims.sequence),
        str(claims.receiver_boot),
        claims.digest.hex(),
    )
    return "\n".join((method, claims.sender, claims.receiver, *numbers)).encode()


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isascii() and text.isprintable()


def _is_number(text: str) -> bool:
    return 0 < len(text) <= MAX_NUMBER_DIGITS and text.isascii() and text.isdigit()


def _parse_hex(text: str, length_bytes: int) -> bytes | None:
    if len(text) != length_bytes * 2 or not text.isascii():
        return None
    try:
        return bytes.fromhex(text)
    except ValueError:
        return None
