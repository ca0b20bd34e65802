"""State of the connections of an HTTP server."""

import math
from dataclasses import dataclass
from socket import socket

from jackdawspur.adapters._process_budget import ProcessBudget
from jackdawspur.adapters._requests import HttpRequest, RequestReader

__all__ = ["WebConnection", "WebConnections"]


@dataclass(eq=False, slots=True)
class WebConnection:
    """State of one connection.

    `since` is the time when it was accepted, when its unfinished request started or
    when its last reply was sent, whichever is latest. `half_closed` means that the
    peer has shut down its sending side, `lingering` that this side has and only waits
    for the peer's close. `paused` means that it isn't read, `queued` that a request
    waits to be handled. `body_bytes` is the size of the body of the open call,
    `unsent` that of the replies that the peer hasn't read, and `charged` what of all
    this the budget of the process includes. Bytes of the next read may have waited
    since `unread_since`.
    """

    sock: socket
    since: float
    reader: RequestReader
    call_id: int | None = None
    request: HttpRequest | None = None
    half_closed: bool = False
    lingering: bool = False
    paused: bool = False
    queued: bool = False
    body_bytes: int = 0
    unsent: int = 0
    charged: int = 0
    unread_since: float = math.inf

    @property
    def idle(self) -> bool:
        """Return whether no request is open or partly received."""
        return self.call_id is None and not self.reader.partial

    def feed(self, data: bytes, now: float) -> None:
        """Add bytes that were read now."""
        self.reader.feed(data, min(now, self.unread_since))
        self.unread_since = math.inf

    @property
    def held(self) -> int:
        """Return the number of bytes that the connection holds."""
        return self.reader.buffered + self.body_bytes + self.unsent

    @property
    def releasable(self) -> int:
        """Return the number of bytes that can be given up.

        An open call keeps its body, but not what its caller sent after it.
        """
        if self.call_id is None:
            return self.held
        return self.reader.buffered


class WebConnections(dict[socket, WebConnection]):
    """The connections of a server, whose bytes are charged to a budget."""

    def __init__(self, budget: ProcessBudget) -> None:
        super().__init__()
        self._budget = budget

    def account(self, connection: WebConnection, unsent: int) -> None:
        """Update what the budget includes of a connection."""
        if connection.sock in self:
            connection.unsent = unsent
            held = connection.held
            self._budget.charge(held - connection.charged)
            connection.charged = held

    def remove(self, sock: socket) -> WebConnection:
        """Remove and return a closed connection."""
        connection = self.pop(sock)
        self._budget.charge(-connection.charged)
        return connection

    def least_active(self, newest: object) -> WebConnection | None:
        """Return another connection without an open call to close, None without one.

        Refused ones come first, then those that have not completed a request for
        longest.
        """
        closable = [
            c
            for c in self.values()
            if c.call_id is None and not c.queued and c is not newest
        ]
        return min(closable, key=lambda c: (not c.lingering, c.since), default=None)
