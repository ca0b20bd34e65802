"""Tell which entry hosts are heard, dead, or perhaps cut off."""

from collections.abc import Collection, Iterable

__all__ = ["Place", "Reach"]

# Seconds after which a host that sends nothing counts as out of reach.
UNHEARD_AFTER = 3.0

# An entry host whatever its incarnation: its zone and its name.
Place = tuple[str, str]


class Reach:
    """Track the configured entry hosts by when they were last heard.

    A host that stays silent while its zone is heard is dead, and the others divide its
    share. A zone of which nothing is heard may be cut off and running on its share, so
    that stays unused; and a host that hears nobody may be the one cut off, and takes
    only its own.
    """

    def __init__(self, own: Place) -> None:
        self._own = own
        self._configured = [own]
        self._members = [own]
        self._reachable = [own]
        self._live: set[Place] = {own}
        self._heard: set[Place] = set()
        self._last_heard: dict[Place, float] = {}
        self._zones_since: dict[str, float] = {}

    @property
    def configured(self) -> list[Place]:
        """Return all entry hosts of the configuration, in order."""
        return self._configured

    @property
    def members(self) -> list[Place]:
        """Return the hosts that are heard, and this one, in order."""
        return self._members

    @property
    def reachable(self) -> list[Place]:
        """Return the hosts whose shares this host and the members divide."""
        return self._reachable

    def configure(self, places: Iterable[Place], now: float) -> None:
        """Take the configured hosts."""
        self._configured = sorted({*places, self._own})
        kept = set(self._configured)
        self._last_heard = {p: t for p, t in self._last_heard.items() if p in kept}
        self.update(now)

    def set_live(self, live: Collection[Place]) -> set[Place]:
        """Take the hosts in the view and return those that left it."""
        left = self._live - {*live, self._own}
        self._live = {*live, self._own}
        self._heard -= left
        return left

    def hear(self, place: Place, now: float) -> None:
        """Note a heartbeat."""
        self._heard.add(place)
        self._last_heard[place] = now

    def drop_unheard(self, now: float) -> list[Place]:
        """Forget and return the hosts that fell silent."""
        last = self._last_heard
        late = [p for p in self._heard if now - last.get(p, now) > UNHEARD_AFTER]
        self._heard.difference_update(late)
        return late

    def update(self, now: float) -> bool:
        """Find members and reachable hosts anew and tell whether they changed."""
        heard = self._heard & self._live & set(self._configured)
        for place in self._configured:
            self._last_heard.setdefault(place, now)
        dead = self._dead(heard, now)
        heard.add(self._own)
        before = (self._members, self._reachable)
        self._members = [p for p in self._configured if p in heard]
        self._reachable = [p for p in self._configured if p in heard or p in dead]
        return before != (self._members, self._reachable)

    def _dead(self, heard: set[Place], now: float) -> set[Place]:
        # A cut silences a zone's hosts within a heartbeat of each other, and after it
        # they are heard one by one. So a host is dead only when its zone was heard all
        # the time that it was missed.
        latest: dict[str, float] = {}
        for place in heard:
            time = self._last_heard[place]
            for zone in {place[0], self._own[0]}:
                latest[zone] = max(latest.get(zone, time), time)
        self._zones_since = {z: self._zones_since.get(z, now) for z in latest}
        return {
            place
            for place in self._configured
            if place not in heard
            and place != self._own
            and place[0] in latest
            and latest[place[0]] - self._missed_since(place) > UNHEARD_AFTER
        }

    def _missed_since(self, place: Place) -> float:
        return max(self._last_heard[place], self._zones_since[place[0]])
