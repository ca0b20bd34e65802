"""Links between entry hosts: the codec and the guard against stale messages."""

from jackdawspur.links._codec import (
    SCHEMA_VERSION,
    Envelope,
    LinkError,
    UnknownSchema,
    UnreadableMessage,
    decode,
    encode,
)
from jackdawspur.links._stale import StaleFilter

__all__ = [
    "SCHEMA_VERSION",
    "Envelope",
    "LinkError",
    "StaleFilter",
    "UnknownSchema",
    "UnreadableMessage",
    "decode",
    "encode",
]
