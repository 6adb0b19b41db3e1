"""Which service each address has served."""

from ..identifiers import AddressKey, ServiceName
from ..routing import ServiceIndex

# No flow is expected to stay open longer: a counter screen or van stream lasts a working day.
FLOW_LIFETIME_LIMIT_MS = 24 * 3600 * 1000


class AddressHistory:
    """Tell whether an address can have flows of another service than its present one."""

    def __init__(self, flow_lifetime_limit_ms: int = FLOW_LIFETIME_LIMIT_MS) -> None:
        self._flow_lifetime_limit_ms = flow_lifetime_limit_ms
        self._since: dict[AddressKey, tuple[ServiceName, int]] = {}

    def observe(self, now_ms: int, index: ServiceIndex) -> None:
        """Note the services of a configuration that is in force from now on."""
        for address, route in index.addresses.items():
            known = self._since.get(address)
            if known is None or known[0] != route.service:
                self._since[address] = (route.service, now_ms)

    def is_settled(self, now_ms: int, address: AddressKey) -> bool:
        """Return whether every flow that can be open was opened to the present service."""
        known = self._since.get(address)
        return known is not None and now_ms - known[1] >= self._flow_lifetime_limit_ms
