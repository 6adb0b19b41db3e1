"""Proofs in the metadata of gRPC calls between entry VMs."""

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
class CallProof:
    """Hold what the proof of a call covers; `digest` is the hash of the request.

    `receiver_boot` is the receiver's boot as the sender last heard it, or 0.
    """

    sender: EntryName
    receiver: EntryName
    boot: int
    sequence: int
    digest: bytes
    receiver_boot: int = 0


def digest_of(content: bytes) -> bytes:
    """Return the hash of a request or an answer."""
    return blake2b(content, digest_size=DIGEST_LENGTH_BYTES).digest()


def sign_call(keyring: Keyring, method: str, proof: CallProof) -> dict[str, str]:
    """Return the metadata that prove a call."""
    return {
        f"{HEADER_PREFIX}sender": proof.sender,
        f"{HEADER_PREFIX}receiver": proof.receiver,
        f"{HEADER_PREFIX}boot": str(proof.boot),
        f"{HEADER_PREFIX}sequence": str(proof.sequence),
        f"{HEADER_PREFIX}digest": proof.digest.hex(),
        f"{HEADER_PREFIX}receiver-boot": str(proof.receiver_boot),
        f"{HEADER_PREFIX}key": str(keyring.signing_id),
        f"{HEADER_PREFIX}tag": keyring.tag(_covered(method, proof)).hex(),
    }


def check_call(
    keyring: Keyring, method: str, metadata: Mapping[str, object]
) -> CallProof | PeerFault:
    """Return the proof in the metadata of a call, or why the call is not accepted."""
    fields = {name: metadata.get(HEADER_PREFIX + name) for name in FIELD_NAMES}
    texts = {name: value for name, value in fields.items() if isinstance(value, str)}
    if len(texts) < len(FIELD_NAMES):
        return PeerFault.MALFORMED
    if not (_is_name(texts["sender"]) and _is_name(texts["receiver"])):
        return PeerFault.MALFORMED
    numbers = [texts[name] for name in ("boot", "sequence", "receiver-boot", "key")]
    if not all(map(_is_number, numbers)):
        return PeerFault.MALFORMED
    digest = _bytes_of(texts["digest"], DIGEST_LENGTH_BYTES)
    tag = _bytes_of(texts["tag"], TAG_LENGTH_BYTES)
    if digest is None or tag is None:
        return PeerFault.MALFORMED
    boot, sequence, receiver_boot, key_id = map(int, numbers)
    sender, receiver = EntryName(texts["sender"]), EntryName(texts["receiver"])
    proof = CallProof(sender, receiver, boot, sequence, digest, receiver_boot)
    fault = keyring.check(key_id, tag, _covered(method, proof))
    return proof if fault is None else fault


FIELD_NAMES = ("sender", "receiver", "boot", "sequence", "digest", "receiver-boot", "key", "tag")


def _covered(method: str, proof: CallProof) -> bytes:
    # A line for each field, since none of them can hold a line break.
    numbers = (str(proof.boot), str(proof.sequence), str(proof.receiver_boot), proof.digest.hex())
    return "\n".join((method, proof.sender, proof.receiver, *numbers)).encode()


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isascii() and text.isprintable()


def _is_number(text: str) -> bool:
    return 0 < len(text) <= MAX_NUMBER_DIGITS and text.isascii() and text.isdigit()


def _bytes_of(text: str, length_bytes: int) -> bytes | None:
    if len(text) != length_bytes * 2 or not text.isascii():
        return None
    try:
        return bytes.fromhex(text)
    except ValueError:
        return None
