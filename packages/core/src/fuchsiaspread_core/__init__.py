"""Decision logic of a layer-4 load balancer, free of input and output.

Public names are imported lazily, so that a program loads only the modules that it uses.
"""

from importlib import import_module

MODULES = {
    "admission": ("ShardAdmission",),
    "configuration": (
        "AddressKind",
        "Configuration",
        "Objective",
        "RequestKind",
        "Revision",
        "Service",
        "ServiceAddress",
        "StreamKind",
        "Target",
        "TargetState",
    ),
    "control": (
        "ControlMessage",
        "PeerRevision",
    ),
    "decisions": (
        "Admit",
        "Decision",
        "Decline",
        "Enqueue",
        "Inform",
        "OpenFailure",
        "OpenRequest",
        "Refuse",
    ),
    "effects": (
        "Effect",
        "FetchParts",
        "Notify",
        "RefuseOpen",
        "SendControl",
        "SendRecords",
        "SendToCaller",
        "SendToPeer",
        "SendToTarget",
        "StopNow",
    ),
    "entry": ("EntryCore",),
    "events": (
        "CallerData",
        "CallerOpen",
        "CallerReset",
        "ControlReceived",
        "Event",
        "LoadReported",
        "MembersPublished",
        "PartPublished",
        "PartsReceived",
        "RecordsReceived",
        "StopRequested",
        "TargetAccept",
        "TargetClose",
        "TargetData",
        "TargetReset",
        "Tick",
    ),
    "flow_table": (
        "FlowRecord",
        "FlowTable",
        "Phase",
    ),
    "identifiers": (
        "Endpoint",
        "FlowKey",
        "address_of",
        "flow_key",
    ),
    "members": (
        "Member",
        "MemberState",
    ),
    "membership": (
        "MembersChanged",
        "Membership",
    ),
    "notices": (
        "FlowEnd",
        "Notice",
    ),
    "parts": (
        "Fault",
        "InvalidConfiguration",
        "Part",
        "PartName",
    ),
    "relay": ("Relay",),
    "rendezvous": (
        "rank",
        "rank_weighted",
    ),
    "revisions": (
        "ApplyConfiguration",
        "RevisionStore",
    ),
}
MODULE_OF = {name: module for module, names in MODULES.items() for name in names}

__all__ = sorted(MODULE_OF)


def __getattr__(name: str) -> object:
    """Return a public name from its module."""
    if name not in MODULE_OF:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{MODULE_OF[name]}", __name__), name)
