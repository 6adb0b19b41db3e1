"""Validated files of a layer-4 load balancer."""

from .compilation import InvalidParts, compile_parts, merge_parts, validate
from .internal.loading import MAX_CONTENT_BYTES
from .internal.merging import Merged
from .members import InvalidMembers, MemberEntry, MembersList, parse_members
from .models import SiteModel
from .settings import FabricSettings, PeerKey, Settings, load_settings

__all__ = [
    "MAX_CONTENT_BYTES",
    "FabricSettings",
    "InvalidMembers",
    "InvalidParts",
    "MemberEntry",
    "MembersList",
    "Merged",
    "PeerKey",
    "Settings",
    "SiteModel",
    "compile_parts",
    "load_settings",
    "merge_parts",
    "parse_members",
    "validate",
]
