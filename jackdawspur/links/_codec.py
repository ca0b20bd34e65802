"""Encoding of messages between entry hosts as MessagePack, with a schema version."""

from dataclasses import dataclass
from typing import get_args

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.links._validation import is_valid_message
from jackdawspur.messages import Message
from jackdawspur.model import HostId, InvalidId

__all__ = [
    "SCHEMA_VERSION",
    "Envelope",
    "LinkError",
    "UnknownSchemaError",
    "MessageDecodeError",
    "decode",
    "encode",
]

SCHEMA_VERSION = 2
# RecursionError is raised for data nested deeper than the parser's stack. If it weren't
# caught, it would stop the reader of the link.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class LinkError(JackdawspurError):
    """Base class of errors on links between entry hosts."""


class MessageDecodeError(LinkError):
    """Raised when bytes can't be decoded as a message of this schema."""


class UnknownSchemaError(LinkError):
    """Raised when a message has a schema version that this host doesn't support."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message between two host incarnations; `sent_at` is by the sender's clock."""

    sender: HostId
    to: HostId
    sent_at: float
    message: Message


# A msgspec struct, unlike a data class, can be encoded without field names. With field
# names and structured ids a frame was larger than the heartbeat in it.
class _Frame(msgspec.Struct, frozen=True, array_like=True):
    schema: int
    sender: str
    to: str
    sent_at: float
    kind: str
    body: msgspec.Raw


_MESSAGE_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_Frame)
_BODY_DECODERS = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in get_args(Message)
}


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    body = msgspec.Raw(_MESSAGE_ENCODER.encode(envelope.message))
    kind = type(envelope.message).__name__
    sender, to = str(envelope.sender), str(envelope.to)
    frame = _Frame(SCHEMA_VERSION, sender, to, envelope.sent_at, kind, body)
    return _MESSAGE_ENCODER.encode(frame)


def decode(data: bytes) -> Envelope:
    """Return the decoded envelope; raise a `LinkError` if the bytes are malformed."""
    try:
        frame = _FRAME_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise MessageDecodeError(str(error)) from error
    if frame.schema != SCHEMA_VERSION:
        raise UnknownSchemaError(f"schema {frame.schema}, expected {SCHEMA_VERSION}")
    try:
        sender, to = HostId.parse(frame.sender), HostId.parse(frame.to)
    except InvalidId as error:
        raise MessageDecodeError(str(error)) from error
    decoder = _BODY_DECODERS.get(frame.kind)
    if decoder is None:
        raise MessageDecodeError(f"unknown kind of message: {frame.kind[:40]!r}")
    try:
        message = decoder.decode(frame.body)
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"{frame.kind}: {error}") from error
    if not is_valid_message(message):
        raise MessageDecodeError(f"{frame.kind}: a number is out of range")
    return Envelope(sender, to, frame.sent_at, message)
