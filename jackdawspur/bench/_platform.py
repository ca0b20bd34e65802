"""Small fakes of the log's claims stream and of the list of hosts."""

import random
from collections import deque
from collections.abc import Callable

from jackdawspur.bench._loop import VirtualLoop
from jackdawspur.dispatch import Claim
from jackdawspur.external import ListedHost

__all__ = ["FakeHostList", "FakeLog"]

APPEND_S = 0.005
READ_S = 0.002
LOST_REPLY_S = 1.0

Reported = Callable[[bool | None], None]


class FakeLog:
    """Keep claims in order of their appends.

    A report is True for appended, False for no effect, None for unknown.
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self.down = False
        self.lost_replies = 0.0
        self.on_append: Callable[[], None] = lambda: None
        self._loop = loop
        self._rng = rng
        self._claims: list[Claim] = []

    def append(self, claim: Claim, reported: Reported) -> None:
        """Append a claim; a lost reply is reported as unknown after a timeout."""
        self._loop.after(APPEND_S, lambda: self._append(claim, reported))

    def read(self, offset: int) -> tuple[Claim, ...]:
        """Return the claims from an offset on; nothing during an outage."""
        return () if self.down else tuple(self._claims[offset:])

    def _append(self, claim: Claim, reported: Reported) -> None:
        if self.down:
            reported(False)
            return
        self._claims.append(claim)
        self._loop.after(READ_S, self.on_append)
        if self._rng.random() < self.lost_replies:
            self._loop.after(LOST_REPLY_S, lambda: reported(None))
        else:
            reported(True)


class FakeHostList:
    """Show the list of hosts as it was some seconds ago."""

    def __init__(self, loop: VirtualLoop, lag_s: float) -> None:
        self.down = False
        self._loop = loop
        self._lag_s = lag_s
        self._published: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    def publish(self, hosts: tuple[ListedHost, ...]) -> None:
        """Take the true list, to be shown after the lag."""
        self._published.append((self._loop.now + self._lag_s, hosts))

    def fetch(self) -> tuple[ListedHost, ...] | None:
        """Return the list that is now shown, or None when the platform is down."""
        shown = self._published
        while len(shown) > 1 and shown[1][0] <= self._loop.now:
            shown.popleft()
        return None if self.down or not shown else shown[0][1]
