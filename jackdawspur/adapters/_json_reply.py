"""Turn HTTP replies into typed results; nonsense becomes an error, never more."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.external import OutcomeUnknown, PlatformError
from jackdawspur.model import InvalidId

__all__ = ["MS", "ForeignReply", "reading", "success"]

MS = 1000.0
OK = 200

T = TypeVar("T")


class ForeignReply(PlatformError):
    """Raise when a reply is not what the interface promises."""


def success(reply: ClientResponse) -> bytes:
    """Return the body of a success; raise `ForeignReply`."""
    if reply.status != OK:
        raise ForeignReply(f"HTTP status {reply.status}")
    return reply.body


def reading(
    peer: str,
    read: Callable[[ClientResponse], T],
    done: Callable[[Result[T, PlatformError]], None],
) -> Callable[[Result[ClientResponse, PlatformError]], None]:
    """Return a receiver of replies that passes on what `read` makes of them.

    A reply that can't be read proves nothing, so it becomes `OutcomeUnknown`.
    """

    def receive(replied: Result[ClientResponse, PlatformError]) -> None:
        done(replied.and_then(lambda reply: _read(peer, read, reply)))

    return receive


def _read(
    peer: str, read: Callable[[ClientResponse], T], reply: ClientResponse
) -> Result[T, PlatformError]:
    try:
        return Ok(read(reply))
    except (msgspec.MsgspecError, InvalidId, ForeignReply) as error:
        return Err(OutcomeUnknown(f"{peer} sent a foreign reply: {error}"))
    except PlatformError as error:
        return Err(error)
