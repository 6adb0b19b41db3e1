"""Authenticate messages between entry VMs with a keyed hash and reject replays."""

from dataclasses import dataclass, field
from hashlib import blake2b
from hmac import compare_digest

from fuchsiaspread_configuration import PeerKey
from fuchsiaspread_core.identifiers import EntryName

from .peer_fields import PeerFault

TAG_LENGTH_BYTES = 16
KEY_ID_LENGTH_BYTES = 1
HEADER_LENGTH_BYTES = KEY_ID_LENGTH_BYTES + TAG_LENGTH_BYTES
# Datagrams of one sender are reordered by less than a few batches of 64.
REPLAY_WINDOW = 1024
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


class Keyring:
    """Sign with the first key and accept every key, so that keys can be rotated."""

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        # Copying a keyed hash state avoids hashing the key again for every message.
        self._states = {
            key.id: blake2b(key=key.secret, digest_size=TAG_LENGTH_BYTES) for key in keys
        }
        self.signing_id = keys[0].id
        self._prefix = self.signing_id.to_bytes(KEY_ID_LENGTH_BYTES, "big")

    def tag(self, message: bytes) -> bytes:
        """Return the authentication tag of a message under the signing key."""
        state = self._states[self.signing_id].copy()
        state.update(message)
        return state.digest()

    def verify_tag(self, key_id: int, tag: bytes, message: bytes) -> PeerFault | None:
        """Verify the tag of a message; return why it is invalid, or None when it is valid."""
        keyed_state = self._states.get(key_id)
        if keyed_state is None:
            return PeerFault.UNKNOWN_KEY
        state = keyed_state.copy()
        state.update(message)
        return None if compare_digest(state.digest(), tag) else PeerFault.BAD_TAG

    def sign_datagram(self, message: bytes) -> bytes:
        """Return the datagram with the key id, the authentication tag and the message."""
        return self._prefix + self.tag(message) + message

    def verify_datagram(self, datagram: bytes) -> bytes | PeerFault:
        """Return the message of a datagram, or why its authentication tag is invalid."""
        if len(datagram) <= HEADER_LENGTH_BYTES:
            return PeerFault.TRUNCATED
        message = datagram[HEADER_LENGTH_BYTES:]
        fault = self.verify_tag(
            datagram[0], datagram[KEY_ID_LENGTH_BYTES:HEADER_LENGTH_BYTES], message
        )
        return message if fault is None else fault


@dataclass(slots=True)
class _Window:
    boot: int
    highest_sequence: int = -1
    seen_bits: int = 0


@dataclass(slots=True)
class ReplayWindows:
    """Accept each sequence number of a sender's newest boot once, within a sliding window."""

    _windows: dict[EntryName, _Window] = field(default_factory=dict)

    def accept(self, sender: EntryName, boot: int, sequence: int) -> bool:
        """Return whether a message is new; call it only with authenticated messages."""
        window = self._windows.get(sender)
        if window is None or boot > window.boot:
            window = self._windows[sender] = _Window(boot)
        elif boot < window.boot:
            return False
        ahead = sequence - window.highest_sequence
        if ahead > 0:
            shifted = window.seen_bits << ahead if ahead < REPLAY_WINDOW else 0
            window.seen_bits = (shifted & REPLAY_WINDOW_MASK) | 1
            window.highest_sequence = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or window.seen_bits & bit:
            return False
        window.seen_bits |= bit
        return True

    def boot_of(self, sender: EntryName) -> int:
        """Return the newest boot number seen from a sender, or 0."""
        window = self._windows.get(sender)
        return 0 if window is None else window.boot

    def retain(self, senders: frozenset[EntryName]) -> None:
        """Drop the windows of all other senders, which bounds the memory used."""
        self._windows = {name: window for name, window in self._windows.items() if name in senders}
