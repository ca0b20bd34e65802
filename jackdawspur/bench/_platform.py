"""Fakes of the log's claims stream and of the list of hosts."""

import random
from collections import deque
from collections.abc import Callable

from jackdawspur.bench._loop import VirtualLoop
from jackdawspur.dispatch import Claim
from jackdawspur.external import ListedHost

__all__ = ["FakeHostList", "FakeLog"]

APPEND_LATENCY_S = 0.005
READ_LATENCY_S = 0.002
REPLY_TIMEOUT_S = 1.0

AppendCallback = Callable[[bool | None], None]


class FakeLog:
    """Store claims in append order.

    The callback of an append gets True if the claim was appended, False if not, and
    None if the outcome is unknown.
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self.down = False
        self.lost_reply_share = 0.0
        self.on_append: Callable[[], None] = lambda: None
        self._loop = loop
        self._rng = rng
        self._claims: list[Claim] = []

    def append(self, claim: Claim, on_result: AppendCallback) -> None:
        """Append a claim; a lost reply is reported as unknown after a timeout."""
        self._loop.after(APPEND_LATENCY_S, lambda: self._append(claim, on_result))

    def read(self, offset: int) -> tuple[Claim, ...]:
        """Return the claims from an offset on, or none during an outage."""
        return () if self.down else tuple(self._claims[offset:])

    def _append(self, claim: Claim, on_result: AppendCallback) -> None:
        if self.down:
            on_result(False)
            return
        self._claims.append(claim)
        self._loop.after(READ_LATENCY_S, self.on_append)
        if self._rng.random() < self.lost_reply_share:
            self._loop.after(REPLY_TIMEOUT_S, lambda: on_result(None))
        else:
            on_result(True)


class FakeHostList:
    """Return the list of hosts with a lag of some seconds."""

    def __init__(self, loop: VirtualLoop, lag_s: float) -> None:
        self.down = False
        self._loop = loop
        self._lag_s = lag_s
        self._published: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    def publish(self, hosts: tuple[ListedHost, ...]) -> None:
        """Set the current list, which `fetch` returns once the lag has passed."""
        self._published.append((self._loop.now + self._lag_s, hosts))

    def fetch(self) -> tuple[ListedHost, ...] | None:
        """Return the list as of the lag ago, or None while the platform is down."""
        published = self._published
        while len(published) > 1 and published[1][0] <= self._loop.now:
            published.popleft()
        return None if self.down or not published else published[0][1]
