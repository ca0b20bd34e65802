"""Simulated peers that send a host the messages of a mesh of its size."""

from dataclasses import replace

from jackdawspur.dispatch import SendPeerMessage
from jackdawspur.messages import (
    CustomerUsage,
    Heartbeat,
    LivePeer,
    Pulse,
    ZoneStatus,
)
from jackdawspur.model import HostId
from jackdawspur.slopes._host import DrivenHost, make_host_id

__all__ = ["Mesh"]

ZONE_USAGE_LIMIT = 16
HOST_USAGE_LIMIT = 32


class Mesh:
    """Answer each heartbeat of a host with a similar one from the receiving peer.

    All hosts send in the same way, so a host gets from each peer what it sends to it.
    """

    def __init__(self, host: DrivenHost) -> None:
        self._host = host
        self._sequence = 0

    def join(self) -> None:
        """Deliver one heartbeat from every configured peer."""
        sizes = self._host.sizes
        for number in range(sizes.zones * sizes.hosts):
            peer = make_host_id(number // sizes.hosts, number % sizes.hosts)
            if peer != self._host.core.host:
                self._host.receive(peer, self._heartbeat(peer, True))

    def run(self, seconds: float) -> None:
        """Advance time by ticks for `seconds`."""
        until = self._host.now + seconds
        while self._host.now < until:
            for effect in self._host.tick():
                if isinstance(effect, SendPeerMessage):
                    self._echo(effect)

    def receive_from_peer(self, full: bool) -> None:
        """Deliver a full heartbeat, or else a pulse, of a peer in the same zone."""
        peer = make_host_id(0, 1)
        self._sequence += 1
        heartbeat = self._heartbeat(peer, True)
        pulse = Pulse(self._sequence, 10, 0, 0.0)
        self._host.receive(peer, heartbeat if full else pulse)

    def _echo(self, effect: SendPeerMessage) -> None:
        message = effect.message
        if isinstance(message, Pulse):
            self._sequence += 1
            answer = replace(message, sequence=self._sequence)
        elif isinstance(message, Heartbeat):
            answer = self._heartbeat(
                effect.to, bool(message.seen) or message.reports_usage
            )
        else:
            return
        self._host.receive(effect.to, answer)

    def _heartbeat(self, peer: HostId, full: bool) -> Heartbeat:
        self._sequence += 1
        heartbeat = Heartbeat(peer, self._sequence, True, False, 1, 10, 0, 0.0)
        if peer.zone != self._host.core.host.zone:
            zone = int(peer.zone.rpartition("-")[2])
            return self._with_zones(heartbeat, (zone,), full)
        # The hosts of a zone divide among them the other zones on which they report.
        rank = int(peer.name[1:])
        other_zones = range(1, self._host.sizes.zones)
        reported_zones = tuple(
            z for z in other_zones if z % self._host.sizes.hosts == rank
        )
        heartbeat = self._with_zones(heartbeat, reported_zones, full)
        if not full:
            return heartbeat
        return replace(heartbeat, usage=self._usage(HOST_USAGE_LIMIT))

    def _with_zones(
        self, heartbeat: Heartbeat, zones: tuple[int, ...], full: bool
    ) -> Heartbeat:
        """Return a heartbeat that reports on zones; a full one lists their hosts."""
        hosts = self._host.sizes.hosts
        usage = self._usage(ZONE_USAGE_LIMIT) if full else ()
        summaries = tuple(
            ZoneStatus(make_host_id(zone, 0).zone, 1, 100, 0, hosts, usage)
            for zone in zones
        )
        if not full:
            return replace(heartbeat, zones=summaries)
        seen = tuple(LivePeer(make_host_id(z, h)) for z in zones for h in range(hosts))
        return replace(heartbeat, zones=summaries, seen=seen, reports_usage=True)

    def _usage(self, limit: int) -> tuple[CustomerUsage, ...]:
        """Return usage that varies, so that quotas are divided again."""
        names = range(min(limit, self._host.sizes.customers))
        waiting = self._sequence % 7
        return tuple(CustomerUsage(f"team-{n:03}", 20, waiting) for n in names)
