"""Authenticate messages between entry VMs by a keyed hash and reject replayed ones."""

from dataclasses import dataclass, field
from hashlib import blake2b
from hmac import compare_digest

from fuchsiaspread_configuration import PeerKey
from fuchsiaspread_core.identifiers import EntryName

from .peer_fields import PeerFault

TAG_LENGTH_BYTES = 16
KEY_ID_LENGTH_BYTES = 1
FRAME_LENGTH_BYTES = KEY_ID_LENGTH_BYTES + TAG_LENGTH_BYTES
# Datagrams of one sender overtake each other by less than a few batches of 64.
REPLAY_WINDOW = 1024
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


class Keyring:
    """Sign with the first key and accept every key, so that keys can be rotated."""

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        # A copy of a prepared state saves hashing the key for every message.
        self._states = {
            key.id: blake2b(key=key.secret, digest_size=TAG_LENGTH_BYTES) for key in keys
        }
        self.signing_id = keys[0].id
        self._prefix = self.signing_id.to_bytes(KEY_ID_LENGTH_BYTES, "big")

    def tag(self, message: bytes) -> bytes:
        """Return the signing key's hash of a message."""
        state = self._states[self.signing_id].copy()
        state.update(message)
        return state.digest()

    def check(self, key_id: int, tag: bytes, message: bytes) -> PeerFault | None:
        """Return why a tag does not prove a message, or None when it does."""
        prepared = self._states.get(key_id)
        if prepared is None:
            return PeerFault.UNKNOWN_KEY
        state = prepared.copy()
        state.update(message)
        return None if compare_digest(state.digest(), tag) else PeerFault.BAD_TAG

    def sign_datagram(self, message: bytes) -> bytes:
        """Return the datagram that carries a message and its proof."""
        return self._prefix + self.tag(message) + message

    def verify_datagram(self, datagram: bytes) -> bytes | PeerFault:
        """Return the message of a datagram once its proof has been checked."""
        if len(datagram) <= FRAME_LENGTH_BYTES:
            return PeerFault.TRUNCATED
        message = datagram[FRAME_LENGTH_BYTES:]
        fault = self.check(datagram[0], datagram[KEY_ID_LENGTH_BYTES:FRAME_LENGTH_BYTES], message)
        return message if fault is None else fault


@dataclass(slots=True)
class _Window:
    boot: int
    highest: int = -1
    seen: int = 0


@dataclass(slots=True)
class ReplayWindows:
    """Accept each sequence number of a sender's newest boot once, within a window."""

    _windows: dict[EntryName, _Window] = field(default_factory=dict)

    def accept(self, sender: EntryName, boot: int, sequence: int) -> bool:
        """Return whether a message is new; call it only with authenticated messages."""
        window = self._windows.get(sender)
        if window is None or boot > window.boot:
            window = self._windows[sender] = _Window(boot)
        elif boot < window.boot:
            return False
        ahead = sequence - window.highest
        if ahead > 0:
            shifted = window.seen << ahead if ahead < REPLAY_WINDOW else 0
            window.seen = (shifted & REPLAY_WINDOW_MASK) | 1
            window.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or window.seen & bit:
            return False
        window.seen |= bit
        return True

    def boot_of(self, sender: EntryName) -> int:
        """Return the newest boot of a sender, or 0."""
        window = self._windows.get(sender)
        return 0 if window is None else window.boot

    def retain(self, senders: frozenset[EntryName]) -> None:
        """Forget senders that are no longer known, so that the state stays bounded."""
        self._windows = {name: window for name, window in self._windows.items() if name in senders}
