"""Message bodies of the host list."""

import msgspec

from jackdawspur.external import HostRole

__all__ = ["HostBody", "HostsBody"]


class HostBody(msgspec.Struct, frozen=True):
    """One host as observed by the platform."""

    zone: str
    name: str
    role: HostRole
    leaving: bool = False


class HostsBody(msgspec.Struct, frozen=True):
    """All hosts that are live or leaving."""

    hosts: tuple[HostBody, ...]
