"""Peers that send a driven host what a mesh of its size would send it."""

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
from jackdawspur.slopes._host import DrivenHost, peer_of

__all__ = ["Mesh"]

USAGE_REPORTED = 16
OWN_USAGE_REPORTED = 32


class Mesh:
    """Answer every heartbeat of a host with one like it from the host it went to.

    All hosts send alike, so a host receives from each peer what it sends to it.
    """

    def __init__(self, host: DrivenHost) -> None:
        self._host = host
        self._sequence = 0

    def join(self) -> None:
        """Let every configured peer be heard once."""
        sizes = self._host.sizes
        for number in range(sizes.zones * sizes.hosts):
            peer = peer_of(number // sizes.hosts, number % sizes.hosts)
            if peer != self._host.core.host:
                self._host.hear(peer, self._beat(peer, True))

    def run(self, seconds: float) -> None:
        """Let time pass, tick by tick."""
        until = self._host.now + seconds
        while self._host.now < until:
            for effect in self._host.tick():
                if isinstance(effect, SendPeerMessage):
                    self._echo(effect)

    def hear_sibling(self, full: bool) -> None:
        """Let a sibling's full heartbeat arrive, or else its pulse."""
        peer = peer_of(0, 1)
        self._sequence += 1
        beat = self._beat(peer, True)
        pulse = Pulse(self._sequence, 10, 0, 0.0)
        self._host.hear(peer, beat if full else pulse)

    def _echo(self, effect: SendPeerMessage) -> None:
        message = effect.message
        if isinstance(message, Pulse):
            self._sequence += 1
            answer = replace(message, sequence=self._sequence)
        elif isinstance(message, Heartbeat):
            answer = self._beat(effect.to, bool(message.seen) or message.reports_usage)
        else:
            return
        self._host.hear(effect.to, answer)

    def _beat(self, peer: HostId, full: bool) -> Heartbeat:
        self._sequence += 1
        beat = Heartbeat(peer, self._sequence, True, False, 1, 10, 0, 0.0)
        if peer.zone != self._host.core.host.zone:
            zone = int(peer.zone.rpartition("-")[2])
            return self._with(beat, (zone,), full)
        # The hosts of a zone share out the other zones that they tell each other of.
        rank = int(peer.name[1:])
        others = range(1, self._host.sizes.zones)
        told = tuple(z for z in others if z % self._host.sizes.hosts == rank)
        beat = self._with(beat, told, full)
        if not full:
            return beat
        return replace(beat, usage=self._usage(OWN_USAGE_REPORTED))

    def _with(self, beat: Heartbeat, zones: tuple[int, ...], full: bool) -> Heartbeat:
        """Return a heartbeat that tells of zones; a full one lists their hosts."""
        hosts = self._host.sizes.hosts
        usage = self._usage(USAGE_REPORTED) if full else ()
        summaries = tuple(
            ZoneStatus(peer_of(zone, 0).zone, 1, 100, 0, hosts, usage) for zone in zones
        )
        if not full:
            return replace(beat, zones=summaries)
        seen = tuple(LivePeer(peer_of(z, h)) for z in zones for h in range(hosts))
        return replace(beat, zones=summaries, seen=seen, reports_usage=True)

    def _usage(self, limit: int) -> tuple[CustomerUsage, ...]:
        """Return usage that varies, so that quotas are divided anew."""
        names = range(min(limit, self._host.sizes.customers))
        waiting = self._sequence % 7
        return tuple(CustomerUsage(f"team-{n:03}", 20, waiting) for n in names)
