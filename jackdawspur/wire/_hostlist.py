"""Bodies the host list speaks."""

import msgspec

from jackdawspur.external import HostRole

__all__ = ["HostBody", "HostsBody"]


class HostBody(msgspec.Struct, frozen=True):
    """Describe one host as the platform saw it."""

    zone: str
    name: str
    role: HostRole
    leaving: bool = False


class HostsBody(msgspec.Struct, frozen=True):
    """List the hosts that are live or leaving."""

    hosts: tuple[HostBody, ...]
