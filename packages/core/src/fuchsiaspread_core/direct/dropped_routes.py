"""Addresses whose route a configuration has dropped."""

from ..identifiers import AddressKey
from .routes import RouteSet


class DroppedRoutes:
    """Remember dropped addresses for as long as a flow to one of them may live.

    An address without a route is not always a dropped one: an entry VM that has just started, or
    whose configuration is older than that of the VM which placed the flow, has not seen the route
    yet.
    """

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        # In the order in which they were dropped.
        self._dropped_ms: dict[AddressKey, int] = {}

    def __contains__(self, address: AddressKey) -> bool:
        return address in self._dropped_ms

    def record_change(self, now_ms: int, before: RouteSet | None, after: RouteSet) -> None:
        """Record which addresses a new configuration drops, and which it routes again."""
        for address in [one for one in self._dropped_ms if one in after.by_address]:
            del self._dropped_ms[address]
        if before is not None:
            for address in before.by_address.keys() - after.by_address.keys():
                self._dropped_ms[address] = now_ms

    def remove_expired(self, now_ms: int) -> None:
        """Forget the addresses to which no flow can be open any more."""
        while self._dropped_ms:
            address, dropped_ms = next(iter(self._dropped_ms.items()))
            if now_ms - dropped_ms <= self._retention_ms:
                return
            del self._dropped_ms[address]
