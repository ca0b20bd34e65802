"""Messages between entry hosts as MessagePack, with a schema version."""

from dataclasses import dataclass
from typing import get_args

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.links._sound import is_sound
from jackdawspur.messages import Message
from jackdawspur.model import HostId, InvalidId

__all__ = [
    "SCHEMA_VERSION",
    "Envelope",
    "LinkError",
    "UnknownSchema",
    "UnreadableMessage",
    "decode",
    "encode",
]

SCHEMA_VERSION = 2
# Data nested deeper than the parser's stack would else stop the reader of the link.
UNREADABLE = (msgspec.MsgspecError, RecursionError)


class LinkError(JackdawspurError):
    """Base of errors on links between entry hosts."""


class UnreadableMessage(LinkError):
    """Raise when bytes are not a message of this schema."""


class UnknownSchema(LinkError):
    """Raise when a message has a schema version that this host doesn't know."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Carry a message between two runs of hosts; `sent_at` in the sender's seconds."""

    sender: HostId
    to: HostId
    sent_at: float
    message: Message


# A struct, unlike a data class, encodes without field names; with these and whole ids
# the frame outweighed the heartbeats it carries.
class _Frame(msgspec.Struct, frozen=True, array_like=True):
    schema: int
    sender: str
    to: str
    sent_at: float
    kind: str
    body: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_FRAMES = msgspec.msgpack.Decoder(_Frame)
_BODIES = {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in get_args(Message)}


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    body = msgspec.Raw(_ENCODER.encode(envelope.message))
    kind = type(envelope.message).__name__
    sender, to = str(envelope.sender), str(envelope.to)
    frame = _Frame(SCHEMA_VERSION, sender, to, envelope.sent_at, kind, body)
    return _ENCODER.encode(frame)


def decode(data: bytes) -> Envelope:
    """Return the envelope in the bytes; raise a `LinkError`."""
    try:
        frame = _FRAMES.decode(data)
    except UNREADABLE as error:
        raise UnreadableMessage(str(error)) from error
    if frame.schema != SCHEMA_VERSION:
        raise UnknownSchema(f"schema {frame.schema}, this host has {SCHEMA_VERSION}")
    try:
        sender, to = HostId.parse(frame.sender), HostId.parse(frame.to)
    except InvalidId as error:
        raise UnreadableMessage(str(error)) from error
    decoder = _BODIES.get(frame.kind)
    if decoder is None:
        raise UnreadableMessage(f"no message is called {frame.kind[:40]!r}")
    try:
        message = decoder.decode(frame.body)
    except UNREADABLE as error:
        raise UnreadableMessage(f"{frame.kind}: {error}") from error
    if not is_sound(message):
        raise UnreadableMessage(f"{frame.kind}: a number is out of its range")
    return Envelope(sender, to, frame.sent_at, message)
