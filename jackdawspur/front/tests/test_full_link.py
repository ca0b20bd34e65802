"""Tests of hosts whose links have little bandwidth."""

from collections.abc import Callable

import pytest

from jackdawspur.front.tests.test_changing_groups import ask, statuses
from jackdawspur.front.tests.virtual import World
from jackdawspur.front.tests.virtual_parts import Node
from jackdawspur.leases import CallOutcome
from jackdawspur.runs import PollUpstream, StartRun, StopRun

ZONES = ("z1", "z2", "z3", "z4", "z5")
HOSTS_PER_ZONE = 2
UPSTREAMS_PER_ZONE = 9
LINK_MBPS = 2.0
BITS_PER_BYTE = 8
# Approximate sizes of whole requests, including HTTP headers.
CALL_BYTES = {StartRun: 1000, StopRun: 250, PollUpstream: 300}
REPLY_BYTES = 300


class NarrowLinks(World):
    """A simulation in which messages queue for the bandwidth of the hosts' links."""

    bytes_per_s = LINK_MBPS * 1e6 / BITS_PER_BYTE

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        super().__init__(monkeypatch, most_upstreams)
        self._free_at: dict[tuple[str, str], float] = {}

    def wait_s(self, host: str, direction: str, size: int) -> float:
        """Queue bytes in one direction of a link; return the time to send them."""
        start_s = max(self.now, self._free_at.get((host, direction), 0.0))
        self._free_at[host, direction] = start_s + size / self.bytes_per_s
        return self._free_at[host, direction] - self.now

    def transmit(self, sender: Node, name: str, data: bytes) -> None:
        """Deliver a message once it has passed both links."""
        sent_s = self.wait_s(sender.name, "out", len(data))
        received_s = self.wait_s(name, "in", len(data))
        deliver = super().transmit
        self.after(max(sent_s, received_s), lambda: deliver(sender, name, data))

    def call(self, node: Node, effect, act, done) -> None:
        """Deliver a call and its reply over the link, within the timeout."""
        done_once = _once(done)
        forward = super().call

        def replied(result) -> None:
            back_s = self.wait_s(node.name, "in", REPLY_BYTES)
            self.after(back_s, lambda: done_once(result), node)

        sent_s = self.wait_s(node.name, "out", CALL_BYTES[type(effect)])
        self.after(sent_s, lambda: forward(node, effect, act, replied), node)
        late = CallOutcome.UNKNOWN
        self.after(effect.timeout_s, lambda: done_once(late), node)


def _once(done: Callable) -> Callable:
    ended = False

    def end(result) -> None:
        nonlocal ended
        if not ended:
            ended = True
            done(result)

    return end


@pytest.fixture
def world(monkeypatch) -> NarrowLinks:
    links = NarrowLinks(monkeypatch, most_upstreams=64)
    for zone in ZONES:
        links.add_upstreams(zone, UPSTREAMS_PER_ZONE)
        for number in range(HOSTS_PER_ZONE):
            name = f"{zone}-{number}"
            links.settings[name] = {"processor": 0.5, "link_mbps": LINK_MBPS}
            links.start(name, zone)
    links.run(3.0)
    return links


def test_hosts_on_narrow_links_lead_their_own_zones(world: NarrowLinks):
    # Guards against one host that leads more upstreams than its link has bandwidth for:
    # its calls queue, count as lost and are repeated, and no request is served.
    sent = ask(world, 3.0, run_s=0.2, every_s=0.1)
    world.run(2.0)
    assert statuses(sent) == {200: len(sent)}
    assert len(world.leaders()) == len(ZONES)
    assert world.counters.two_at_once == 0
