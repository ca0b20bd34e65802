"""Groups of hosts that exchange heartbeats in virtual time."""

from jackdawspur.group import Group, HostAddress, HostHeartbeat
from jackdawspur.group.tests.heartbeats import heartbeat_of

__all__ = ["UNIX_MS", "Hosts", "address"]

UNIX_MS = 1_800_000_000_000


def address(name: str, started_ms: int = UNIX_MS - 60_000) -> HostAddress:
    return HostAddress(name, "z1", f"127.0.0.1:{9000 + len(name)}", started_ms)


class Hosts:
    """Hosts that receive each other's heartbeats, except across partitioned pairs."""

    def __init__(self, *names: str) -> None:
        self.now = 50.0
        self.groups = {name: Group(address(name), self.now) for name in names}
        self.stopped: set[str] = set()
        self.unready: set[str] = set()
        self.partitions: set[frozenset[str]] = set()

    def heartbeat(self, name: str) -> HostHeartbeat:
        return heartbeat_of(self.groups[name], address(name), self.now)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            running = [name for name in self.groups if name not in self.stopped]
            heartbeats = {name: self.heartbeat(name) for name in running}
            for name in running:
                for other in running:
                    if (
                        other != name
                        and frozenset((name, other)) not in self.partitions
                    ):
                        self.groups[name].record_heartbeat(heartbeats[other], self.now)
            for name in running:
                ready = name not in self.unready
                self.groups[name].update_leadership(ready, UNIX_MS, self.now)

    def leaders(self) -> list[str]:
        return [name for name, group in self.groups.items() if group.is_leader]
