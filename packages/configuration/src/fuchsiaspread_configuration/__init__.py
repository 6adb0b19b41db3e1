"""Load, merge and validate the configuration files of a layer-4 load balancer."""

from .compilation import InvalidParts, compile_parts, merge_parts, validate
from .internal.loading import MAX_CONTENT_BYTES
from .internal.merging import Merged
from .internal.values import parse_endpoint_text
from .members import InvalidMembers, MemberEntry, MembersList, parse_members
from .models import SiteModel
from .origins import OriginatedValue, originated_values
from .schemas import base_schema, overlay_schema, settings_schema
from .settings import FabricSettings, PeerKey, Settings, load_settings

__all__ = [
    "MAX_CONTENT_BYTES",
    "FabricSettings",
    "InvalidMembers",
    "InvalidParts",
    "MemberEntry",
    "MembersList",
    "Merged",
    "OriginatedValue",
    "PeerKey",
    "Settings",
    "SiteModel",
    "base_schema",
    "compile_parts",
    "load_settings",
    "merge_parts",
    "originated_values",
    "overlay_schema",
    "parse_endpoint_text",
    "parse_members",
    "settings_schema",
    "validate",
]
