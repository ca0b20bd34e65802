"""Entries of upstreams and hosts in the store, which any writer may have written.

An entry that is not what it should be names nothing that could be used; the others
hold.
"""

import math

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.group import HostAddress
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.platform._bodies import CapacityBody, HostBody, ServerBody
from jackdawspur.settings import check_address

__all__ = ["UnreadableEntry", "read_host", "read_upstream"]

READY = "ready"
DRAINING = "draining"
# Far beyond what any machine has: a number above is no size but a fault.
MOST_OF_A_KIND = 1 << 40
# Milliseconds since 1970 until the year 2200.
MOST_STARTED_MS = 7_258_118_400_000
MOST_PROCESSOR = 1024.0

_decode_server = msgspec.json.Decoder(ServerBody).decode
_decode_host = msgspec.json.Decoder(HostBody).decode


class UnreadableEntry(JackdawspurError):
    """Raise when an entry can't be used; names the field."""


def read_upstream(name: str, value: bytes) -> UpstreamEntry:
    """Return an upstream's entry; raise `UnreadableEntry`."""
    body = _decoded(_decode_server, value)
    if not name or not body.service or not body.zone:
        raise UnreadableEntry("an empty name, service or zone")
    if body.state not in (READY, DRAINING):
        raise UnreadableEntry(f"state: {body.state!r} is not known")
    _check_address("address", body.address)
    return UpstreamEntry(
        id=UpstreamId(body.zone, name),
        service=body.service,
        address=body.address,
        capacity=_capacity(body.capacity),
        labels=tuple(body.labels),
        draining=body.state == DRAINING,
    )


def read_host(value: bytes) -> HostAddress:
    """Return a host's entry; raise `UnreadableEntry`."""
    body = _decoded(_decode_host, value)
    if not body.name or not body.zone:
        raise UnreadableEntry("an empty name or zone")
    _check_address("link", body.link)
    if not 0 <= body.started_ms <= MOST_STARTED_MS:
        raise UnreadableEntry(f"started_ms: {body.started_ms} is out of range")
    if not (math.isfinite(body.processor) and 0 < body.processor <= MOST_PROCESSOR):
        raise UnreadableEntry(f"processor: {body.processor} is out of range")
    return HostAddress(body.name, body.zone, body.link, body.started_ms, body.processor)


def _decoded(decode, value: bytes):
    try:
        return decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnreadableEntry(str(error)) from error


def _capacity(room: CapacityBody) -> Resources:
    for field in ("cpu", "mem_mb", "gpus"):
        if not 0 <= getattr(room, field) <= MOST_OF_A_KIND:
            raise UnreadableEntry(f"capacity.{field}: out of range")
    return Resources(room.cpu, room.mem_mb, room.gpus)


def _check_address(field: str, text: str) -> None:
    try:
        check_address(text, min_port=1)
    except ValueError as error:
        raise UnreadableEntry(f"{field}: {text!r} is no IP:port") from error
