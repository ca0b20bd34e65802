"""Adapters between the customers' platform and this product."""

from jackdawspur.platform._callers import PlatformCallerCodec
from jackdawspur.platform._settings import SETTINGS_VARIABLE, load_platform_settings
from jackdawspur.platform._store import PlatformStore
from jackdawspur.platform._upstreams import PlatformUpstreamClient

__all__ = [
    "PlatformCallerCodec",
    "PlatformStore",
    "PlatformUpstreamClient",
    "SETTINGS_VARIABLE",
    "load_platform_settings",
]
