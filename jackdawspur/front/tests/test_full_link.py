"""Hosts on thin links serve what their zones' links carry together."""

from collections.abc import Callable

import pytest

from jackdawspur.front.tests.test_zones_that_differ import ask, statuses
from jackdawspur.front.tests.virtual import World
from jackdawspur.front.tests.virtual_parts import Life
from jackdawspur.leases import CallOutcome
from jackdawspur.runs import PollUpstream, StartRun, StopRun

ZONES = ("z1", "z2", "z3", "z4", "z5")
HOSTS_A_ZONE = 2
UPSTREAMS_A_ZONE = 9
LINK_MBPS = 2.0
BITS_A_BYTE = 8
# About what whole requests take, heads included.
ORDER_BYTES = {StartRun: 1000, StopRun: 250, PollUpstream: 300}
REPLY_BYTES = 300


class ThinLinks(World):
    """Let what hosts send and receive wait for their links."""

    bytes_s = LINK_MBPS * 1e6 / BITS_A_BYTE

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        super().__init__(monkeypatch, most_upstreams)
        self._free_at: dict[tuple[str, str], float] = {}

    def wait_s(self, host: str, way: str, size: int) -> float:
        """Queue bytes on one way of a host's link; return when they have passed."""
        begins = max(self.now, self._free_at.get((host, way), 0.0))
        self._free_at[host, way] = begins + size / self.bytes_s
        return self._free_at[host, way] - self.now

    def carry(self, sender: Life, name: str, data: bytes) -> None:
        """Deliver a message once both links have passed it."""
        sent_s = self.wait_s(sender.name, "out", len(data))
        taken_s = self.wait_s(name, "in", len(data))
        later = super().carry
        self.after(max(sent_s, taken_s), lambda: later(sender, name, data))

    def call(self, life: Life, effect, act, done) -> None:
        """Carry a call and its reply over the host's link, within the call's limit."""
        end_once = _once(done)
        forward = super().call

        def replied(result) -> None:
            back_s = self.wait_s(life.name, "in", REPLY_BYTES)
            self.after(back_s, lambda: end_once(result), life)

        sent_s = self.wait_s(life.name, "out", ORDER_BYTES[type(effect)])
        self.after(sent_s, lambda: forward(life, effect, act, replied), life)
        late = CallOutcome.UNKNOWN
        self.after(effect.timeout_s, lambda: end_once(late), life)


def _once(done: Callable) -> Callable:
    ended = False

    def end(result) -> None:
        nonlocal ended
        if not ended:
            ended = True
            done(result)

    return end


@pytest.fixture
def world(monkeypatch) -> ThinLinks:
    thin = ThinLinks(monkeypatch, most_upstreams=64)
    for zone in ZONES:
        thin.add_upstreams(zone, UPSTREAMS_A_ZONE)
        for number in range(HOSTS_A_ZONE):
            name = f"{zone}-{number}"
            thin.stated[name] = {"processor": 0.5, "link_mbps": LINK_MBPS}
            thin.start(name, zone)
    thin.run(3.0)
    return thin


def test_full_link_of_leading_host(world: ThinLinks):
    # Guards against one host leading more upstreams than its link carries: its calls
    # wait, count as lost and are repeated, and nothing is served.
    asked = ask(world, 3.0, run_s=0.2, every_s=0.1)
    world.run(2.0)
    assert statuses(asked) == {200: len(asked)}
    assert len(world.leaders()) == len(ZONES)
    assert world.counters.two_at_once == 0
