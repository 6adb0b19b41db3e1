"""Lanes of a shard's queue, and the history that assigns requests to them."""

from collections import OrderedDict
from enum import IntEnum

from ..identifiers import FlowKey, address_of

NETWORK_LENGTH_BYTES = 3  # a /24 network
HISTORY_LIMIT = 4096
# The history holds, for each key, an exponentially weighted average: the share of long requests. A
# request is long if its service time exceeds `ServiceTimes.long_threshold_ms`. With these values,
# two consecutive long requests put a key into the long lane, and up to three short ones take it out
# again. A single long request among short ones does not suffice.
HISTORY_STEP = 0.3
LONG_LANE_SHARE = 0.45
FORGOTTEN_SHARE = 0.05


class Lane(IntEnum):
    """One of the separate queues of a shard, for short requests, long requests or streams."""

    SHORT = 0
    LONG = 1
    STREAM = 2


def history_key(flow: FlowKey) -> bytes:
    """Return the key of the history: the caller's network and the service address."""
    return flow[:NETWORK_LENGTH_BYTES] + address_of(flow)


class LaneHistory:
    """Remember which callers' networks recently sent long requests to which service address.

    The memory is bounded.
    """

    def __init__(self) -> None:
        # Only keys with long requests are stored; the least recently seen one is evicted first.
        self._long_shares: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._long_shares)

    def lane_of(self, flow: FlowKey) -> Lane:
        """Return the lane of a request."""
        is_long = self._long_shares.get(history_key(flow), 0.0) >= LONG_LANE_SHARE
        return Lane.LONG if is_long else Lane.SHORT

    def observe(self, flow: FlowKey, is_long: bool) -> None:
        """Record whether a request was long."""
        key = history_key(flow)
        share = self._long_shares.get(key, 0.0)
        share += HISTORY_STEP * ((1.0 if is_long else 0.0) - share)
        if share < FORGOTTEN_SHARE:
            self._long_shares.pop(key, None)
            return
        self._long_shares[key] = share
        self._long_shares.move_to_end(key)
        if len(self._long_shares) > HISTORY_LIMIT:
            self._long_shares.popitem(last=False)
