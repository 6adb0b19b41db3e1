"""Lanes of a shard's queue, and the history that assigns requests to them."""

from collections import OrderedDict
from enum import IntEnum

from ..identifiers import FlowKey, address_of

NETWORK_LENGTH_BYTES = 3  # a /24 network
HISTORY_LIMIT = 4096
# With these values, two consecutive long requests put a network into the long lane, and up to
# three short ones take it out again. A single slow request among short ones does not suffice.
HISTORY_STEP = 0.3
LONG_LANE_SHARE = 0.45
FORGOTTEN_SHARE = 0.05


class Lane(IntEnum):
    """Separate lane of the queue for short requests, long requests or streams."""

    SHORT = 0
    LONG = 1
    STREAM = 2


def network_of(flow: FlowKey) -> bytes:
    """Return the caller's network and the service address, the key of the history."""
    return flow[:NETWORK_LENGTH_BYTES] + address_of(flow)


class LaneHistory:
    """Remember which caller networks recently sent long requests, in bounded memory."""

    def __init__(self) -> None:
        # Only networks with long requests are stored; the least recently seen one is evicted first.
        self._long_shares: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._long_shares)

    def lane_of(self, flow: FlowKey) -> Lane:
        """Return the lane of a request."""
        is_long = self._long_shares.get(network_of(flow), 0.0) >= LONG_LANE_SHARE
        return Lane.LONG if is_long else Lane.SHORT

    def observe(self, flow: FlowKey, is_long: bool) -> None:
        """Record whether a request was long."""
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
