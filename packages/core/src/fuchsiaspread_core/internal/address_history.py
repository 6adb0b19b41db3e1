"""History of the service behind each address."""

from ..identifiers import AddressKey, ServiceName
from ..routing import ServiceIndex

# No flow is expected to stay open longer: the longest, such as streams to counter screens and
# vans, last a working day.
FLOW_LIFETIME_LIMIT_MS = 24 * 3600 * 1000


class AddressHistory:
    """Track since when each address has belonged to its current service."""

    def __init__(self, flow_lifetime_limit_ms: int = FLOW_LIFETIME_LIMIT_MS) -> None:
        self._flow_lifetime_limit_ms = flow_lifetime_limit_ms
        self._since: dict[AddressKey, tuple[ServiceName, int]] = {}

    def observe(self, now_ms: int, index: ServiceIndex) -> None:
        """Record the services of a configuration that was put in force."""
        for address, route in index.addresses.items():
            known = self._since.get(address)
            if known is None or known[0] != route.service:
                self._since[address] = (route.service, now_ms)

    def is_settled(self, now_ms: int, address: AddressKey) -> bool:
        """Return whether every flow that may still be open was opened to the current service."""
        known = self._since.get(address)
        return known is not None and now_ms - known[1] >= self._flow_lifetime_limit_ms
