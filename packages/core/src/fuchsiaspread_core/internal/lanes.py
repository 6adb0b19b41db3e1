"""Lanes of a shard's queue, and the history that assigns an open to one."""

from collections import OrderedDict
from enum import IntEnum

from ..identifiers import FlowKey, address_of

NETWORK_LENGTH_BYTES = 3  # a /24 network
HISTORY_LIMIT = 4096
# With these values two long requests in a row put a network into the long lane, and up to three
# short ones take it out again; a single straggler among short requests does not put it there.
HISTORY_STEP = 0.3
LONG_LANE_SHARE = 0.45
FORGOTTEN_SHARE = 0.05


class Lane(IntEnum):
    """Name the lanes in which opens wait."""

    SHORT = 0
    LONG = 1
    STREAM = 2


def network_of(flow: FlowKey) -> bytes:
    """Return the caller's network and the service address, by which history is kept."""
    return flow[:NETWORK_LENGTH_BYTES] + address_of(flow)


class LaneHistory:
    """Remember which caller networks lately sent long requests, in bounded memory."""

    def __init__(self) -> None:
        # Only networks with a long request are stored; the least recently seen one goes first.
        self._long_shares: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._long_shares)

    def lane_of(self, flow: FlowKey) -> Lane:
        """Return the lane of a request."""
        is_long = self._long_shares.get(network_of(flow), 0.0) >= LONG_LANE_SHARE
        return Lane.LONG if is_long else Lane.SHORT

    def observe(self, flow: FlowKey, is_long: bool) -> None:
        """Take the outcome of one request."""
        network = network_of(flow)
        share = self._long_shares.get(network, 0.0)
        share += HISTORY_STEP * ((1.0 if is_long else 0.0) - share)
        if share < FORGOTTEN_SHARE:
            self._long_shares.pop(network, None)
            return
        self._long_shares[network] = share
        self._long_shares.move_to_end(network)
        if len(self._long_shares) > HISTORY_LIMIT:
            self._long_shares.popitem(last=False)
