"""Check the status of a reply before its body is read."""

from jackdawspur.adapters._http_connection import HttpReply
from jackdawspur.platform import PlatformError

__all__ = ["UnexpectedStatus", "decode_reply"]

OK = 200


class UnexpectedStatus(PlatformError):
    """Raise when a reply isn't a success; `status` is its HTTP status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"HTTP status {status}")
        self.status = status


def decode_reply(reply: HttpReply) -> bytes:
    """Return the body of a success; raise `UnexpectedStatus`."""
    if reply.status != OK:
        raise UnexpectedStatus(reply.status)
    return reply.body
