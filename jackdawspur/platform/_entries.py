"""Decoding and validation of the entries of upstreams and hosts in the store.

Entries may come from any writer. An invalid entry is ignored and doesn't affect the
others.
"""

import math

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.group import HostAddress
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.platform._bodies import CapacityBody, HostBody, ServerBody
from jackdawspur.settings import check_address

__all__ = ["MAX_RESOURCE", "EntryDecodeError", "read_host", "read_upstream"]

READY = "ready"
DRAINING = "draining"
# Upper bound of each resource, far above what any machine has; a larger value is
# invalid.
MAX_RESOURCE = 1 << 40
# Start of the year 2200, in milliseconds since 1970.
MAX_STARTED_MS = 7_258_118_400_000
MAX_PROCESSOR_CORES = 1024.0
# Bounds of texts, which are passed on between hosts with the list.
MAX_TEXT_LENGTH = 256
MAX_LABELS = 64

_decode_server = msgspec.json.Decoder(ServerBody).decode
_decode_host = msgspec.json.Decoder(HostBody).decode


class EntryDecodeError(JackdawspurError):
    """Raised when an entry is invalid; the message names the field."""


def read_upstream(name: str, value: bytes) -> UpstreamEntry:
    """Return an upstream's entry; raise `EntryDecodeError` if it is invalid."""
    body = _decode(_decode_server, value)
    if not (name.isascii() and name.isprintable()):
        # Calls to the upstream state its name in a header.
        raise EntryDecodeError("name: not printable ASCII")
    if not name or not body.service or not body.zone:
        raise EntryDecodeError("name, service or zone is empty")
    _check_lengths(service=body.service, zone=body.zone)
    if len(body.labels) > MAX_LABELS:
        raise EntryDecodeError(f"labels: more than {MAX_LABELS}")
    for label in body.labels:
        _check_lengths(labels=label)
    if body.state not in (READY, DRAINING):
        raise EntryDecodeError(f"state: unknown value {body.state!r}")
    _check_address("address", body.address)
    return UpstreamEntry(
        id=UpstreamId(body.zone, name),
        service=body.service,
        address=body.address,
        capacity=_to_resources(body.capacity),
        labels=tuple(body.labels),
        draining=body.state == DRAINING,
    )


def read_host(value: bytes) -> HostAddress:
    """Return a host's entry; raise `EntryDecodeError` if it is invalid."""
    body = _decode(_decode_host, value)
    if not body.name or not body.zone:
        raise EntryDecodeError("name or zone is empty")
    _check_lengths(name=body.name, zone=body.zone)
    _check_address("link", body.link)
    if not 0 <= body.started_ms <= MAX_STARTED_MS:
        raise EntryDecodeError(f"started_ms: {body.started_ms} is out of range")
    if not (
        math.isfinite(body.processor) and 0 < body.processor <= MAX_PROCESSOR_CORES
    ):
        raise EntryDecodeError(f"processor: {body.processor} is out of range")
    return HostAddress(body.name, body.zone, body.link, body.started_ms, body.processor)


def _decode(decode, value: bytes):
    try:
        return decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise EntryDecodeError(str(error)) from error


def _to_resources(capacity: CapacityBody) -> Resources:
    for field in ("cpu", "mem_mb", "gpus"):
        if not 0 <= getattr(capacity, field) <= MAX_RESOURCE:
            raise EntryDecodeError(f"capacity.{field}: out of range")
    return Resources(capacity.cpu, capacity.mem_mb, capacity.gpus)


def _check_lengths(**texts: str) -> None:
    for field, text in texts.items():
        if len(text) > MAX_TEXT_LENGTH:
            raise EntryDecodeError(f"{field}: longer than {MAX_TEXT_LENGTH}")


def _check_address(field: str, text: str) -> None:
    try:
        check_address(text, min_port=1)
    except ValueError as error:
        raise EntryDecodeError(f"{field}: {text!r} is not an IP:port") from error
