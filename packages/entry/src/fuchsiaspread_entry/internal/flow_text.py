"""Parse flows in the form that operators write."""

from ipaddress import AddressValueError, IPv4Address

from fuchsiaspread_core.identifiers import Endpoint, FlowKey, flow_key

MAX_PORT = 65535
# Two addresses of 15 characters, two ports of 5 and three separators.
MAX_TEXT_LENGTH = 43


def parse_flow(text: str) -> FlowKey | None:
    """Parse CALLER:PORT-SERVICE:PORT; return None if invalid. `>` may replace the dash."""
    if len(text) > MAX_TEXT_LENGTH:
        return None
    caller_text, _, service_text = text.replace(">", "-").partition("-")
    caller, service = _endpoint(caller_text), _endpoint(service_text)
    return flow_key(caller, service) if caller and service else None


def _endpoint(text: str) -> Endpoint | None:
    host, _, port = text.partition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return None
    try:
        return Endpoint(str(IPv4Address(host)), int(port))
    except AddressValueError:
        return None
