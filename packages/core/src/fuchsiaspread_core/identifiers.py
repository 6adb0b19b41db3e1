"""Names and keys shared by the modules of the core."""

from ipaddress import IPv4Address
from typing import NamedTuple, NewType

EntryName = NewType("EntryName", str)
ServiceName = NewType("ServiceName", str)
TargetName = NewType("TargetName", str)
ZoneName = NewType("ZoneName", str)

# Caller IPv4, service IPv4, caller port, service port, in network byte order. A bytes key takes a
# third of the memory of a data class and is hashed without a Python call.
FlowKey = NewType("FlowKey", bytes)
AddressKey = NewType("AddressKey", bytes)

FLOW_KEY_LENGTH_BYTES = 12


class Endpoint(NamedTuple):
    """An IPv4 host and a port; compares equal to the plain tuple that a socket returns."""

    host: str
    port: int


def flow_key(caller: Endpoint, service: Endpoint) -> FlowKey:
    """Return the key of the flow between a caller and a service address."""
    hosts = IPv4Address(caller.host).packed + IPv4Address(service.host).packed
    ports = caller.port.to_bytes(2, "big") + service.port.to_bytes(2, "big")
    return FlowKey(hosts + ports)


def address_key(service: Endpoint) -> AddressKey:
    """Return the key of a service address."""
    return AddressKey(IPv4Address(service.host).packed + service.port.to_bytes(2, "big"))


def address_of(flow: FlowKey) -> AddressKey:
    """Return the service address that a flow was opened to."""
    return AddressKey(flow[4:8] + flow[10:12])


def caller_host_of(flow: FlowKey) -> bytes:
    """Return the caller's packed IPv4 address."""
    return flow[:4]


def describe_flow(flow: FlowKey) -> str:
    """Format a flow key for logs and reports."""
    caller, service = IPv4Address(flow[:4]), IPv4Address(flow[4:8])
    caller_port, service_port = int.from_bytes(flow[8:10], "big"), int.from_bytes(flow[10:], "big")
    return f"{caller}:{caller_port}-{service}:{service_port}"
