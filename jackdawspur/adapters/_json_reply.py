"""Decoding of HTTP replies into typed results; malformed replies become errors."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.external import OutcomeUnknown, PlatformError
from jackdawspur.model import InvalidId

__all__ = ["MS_PER_S", "MalformedReply", "reply_handler", "success_body"]

MS_PER_S = 1000.0
OK = 200

T = TypeVar("T")


class MalformedReply(PlatformError):
    """Raised when a reply does not conform to the interface."""


def success_body(reply: ClientResponse) -> bytes:
    """Return the body of a reply; raise `MalformedReply` if its status isn't 200."""
    if reply.status != OK:
        raise MalformedReply(f"HTTP status {reply.status}")
    return reply.body


def reply_handler(
    peer: str,
    decode: Callable[[ClientResponse], T],
    done: Callable[[Result[T, PlatformError]], None],
) -> Callable[[Result[ClientResponse, PlatformError]], None]:
    """Return a callback that decodes a reply and passes the result to `done`.

    A malformed reply proves nothing of the outcome, so it becomes `OutcomeUnknown`.
    """

    def receive(result: Result[ClientResponse, PlatformError]) -> None:
        done(result.and_then(lambda reply: _decode(peer, decode, reply)))

    return receive


def _decode(
    peer: str, decode: Callable[[ClientResponse], T], reply: ClientResponse
) -> Result[T, PlatformError]:
    try:
        return Ok(decode(reply))
    except (msgspec.MsgspecError, RecursionError, InvalidId, MalformedReply) as error:
        return Err(OutcomeUnknown(f"{peer} sent a malformed reply: {error}"))
    except PlatformError as error:
        return Err(error)
