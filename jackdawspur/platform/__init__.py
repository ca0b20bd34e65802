"""Translation between the customers' platform and the product."""

from jackdawspur.platform._callers import PlatformCallers
from jackdawspur.platform._settings import SETTINGS_VARIABLE, read_platform_settings
from jackdawspur.platform._store import PlatformStore
from jackdawspur.platform._upstreams import PlatformUpstreams

__all__ = [
    "PlatformCallers",
    "PlatformStore",
    "PlatformUpstreams",
    "SETTINGS_VARIABLE",
    "read_platform_settings",
]
