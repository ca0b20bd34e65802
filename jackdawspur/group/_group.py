"""Which hosts are alive, and which of them leads."""

import math

from jackdawspur.group._candidates import is_fit, rank
from jackdawspur.group._contest import Contest
from jackdawspur.group._extent import MOST_UPSTREAMS, Extent
from jackdawspur.group._leadership_transfer import LeadershipTransfer
from jackdawspur.group._messages import HostAddress, HostHeartbeat
from jackdawspur.group._terms import Term, precedence
from jackdawspur.leases import FENCE_STEP, Fence, next_fence

__all__ = ["FOLLOWER_TIMEOUT_S", "HEARTBEAT_INTERVAL_S", "HEARTBEAT_TIMEOUT_S", "Group"]

HEARTBEAT_INTERVAL_S = 0.1
# Four heartbeats: a host whose share of the processor is used up stands still for up
# to 0.1 s, and a lost message must not cost a change of the leading host.
HEARTBEAT_TIMEOUT_S = 0.4
# Hosts that follow the same one tell each other of themselves every second.
FOLLOWER_TIMEOUT_S = 2.5
# Other groups' leading hosts tell of themselves every second, and of room more often.
OTHER_LEAD_SILENCE_S = 2.5
# How long no host may lead before another takes over: all have then heard the same.
VACANT_S = 0.1
# A host that takes the lead tells all others at once, but after a cut their links must
# connect first. An upstream that still obeys an unknown fence after this obeys a host
# that this one does not hear. With less, both sides' leading hosts claim in turn what
# the other holds.
FENCED_CLAIM_S = 0.6
# How long a host that does not hear a lead which others follow leaves it to that one:
# links over which a cut healed connect again within half a second.
UNHEARD_S = 0.6
# At a start all hosts are to find each other before one leads: reading the store, a
# connection and a heartbeat each way take 0.02 s, and hosts start within 0.3 s.
FIRST_VACANT_S = 0.25
# As long passes at least from when a host has read the store, which may answer late.
MEET_S = 0.2
# A heartbeat may have waited for this long before it was read: whoever stood still for
# longer leads no more.
READ_MARGIN_S = 0.4
# By how many milliseconds' worth a fence rises over one that an upstream refused: more
# than clocks of hosts are known to differ.
CLAIM_STEPS = 5000


class Group:
    """Follow the live host with the highest fence; lead when there is none.

    Two hosts that both lead cost refused calls and nothing worse: upstreams obey the
    higher fence alone, and the lower one gives up as soon as it hears of the other.

    Which zones a group has is decided by its leading host and told with its heartbeats.
    """

    def __init__(
        self, own: HostAddress, now: float, most_upstreams: int = MOST_UPSTREAMS
    ) -> None:
        self._own = own
        self._beats: dict[str, HostHeartbeat] = {}
        self._heard: dict[str, float] = {}
        self._beat_heard: dict[str, float] = {}
        self._known: dict[str, HostAddress] = {}
        self._vacant_since = now + FIRST_VACANT_S - VACANT_S
        self._highest: Fence = 0
        self._followed: Fence = 0
        self._extent = Extent(most_upstreams)
        self._contest = Contest(now)
        self._hand_over = LeadershipTransfer(own)
        self.fence: Fence = 0
        self.is_leader = False
        self.draining = False
        self.slow = False
        # Whether the platform's store is within reach.
        self.store_reachable = False

    @property
    def by_zone(self) -> bool:
        """Tell whether the group is the own zone alone."""
        return self._extent.by_zone

    @property
    def handed_to(self) -> str:
        """Return which stronger host was last given the lead since this one had it."""
        return self._hand_over.given_to

    @property
    def too_large(self) -> bool:
        """Tell whether by the own list there are too many upstreams for one group."""
        return self._extent.too_large

    @property
    def known_peers(self) -> tuple[HostAddress, ...]:
        """Return the other hosts of the group that are known by address."""
        return tuple(h for h in self._known.values() if self.covers(h.zone))

    @property
    def other_group_hosts(self) -> tuple[HostAddress, ...]:
        """Return the hosts of other groups that are known by address."""
        return tuple(h for h in self._known.values() if not self.covers(h.zone))

    def other_group_leaders(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the hosts that lead other groups."""
        return [beat for beat in self._leading(now) if not self.includes(beat)]

    def _leading(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of all other hosts that led lately."""
        return [
            beat
            for beat in self._beats.values()
            if beat.leads and now - self._heard[beat.host.name] < OTHER_LEAD_SILENCE_S
        ]

    def is_term_active(self, term: Term, since: float, now: float) -> bool:
        """Tell whether another group's term goes on; `since` is when it was named.

        Its host tells all hosts that wait for it, from the first it hears of them.
        """
        silent_s = min(self.silent_s(term.leader, now), now - since)
        beat = self._beats.get(term.leader)
        changed = beat is not None and beat.fence != term.fence
        # What was heard before the term was named may be of an earlier one.
        heard_since = self._heard.get(term.leader, since) > since
        return silent_s < HEARTBEAT_TIMEOUT_S and not (changed and heard_since)

    @property
    def last_heartbeats(self) -> tuple[HostHeartbeat, ...]:
        """Return the last heartbeat of every other host, alive or not."""
        return tuple(self._beats.values())

    def leads_other_group(self, term: Term, now: float) -> bool:
        """Tell whether a term goes on in a group that is not this host's any more."""
        beat = self._beats.get(term.leader)
        if beat is None or not self.alive(term.leader, now):
            return False
        goes_on = beat.leads and beat.fence == term.fence
        return goes_on and not self._takes_in(beat)

    def set_upstream_count(self, upstreams: int, now: float) -> None:
        """Be one group of all zones, or of the own zone where that is too large."""
        self._extent.set_upstream_count(upstreams)
        self._choose_zones(now)

    def _choose_zones(self, now: float) -> None:
        """Have the zones of the leading host's group; decide where nobody leads."""
        beat = None if self.is_leader else self._leading_beat(now)
        if beat is not None:
            self._extent.follow(beat.by_zone)
        else:
            self._extent.decide(self._groups_of_zones(now))

    def _groups_of_zones(self, now: float) -> list[HostHeartbeat]:
        """Return the heartbeats of hosts that lead other zones' own groups."""
        leading = self._leading(now)
        return [b for b in leading if b.by_zone and b.host.zone != self._own.zone]

    def covers(self, zone: str) -> bool:
        """Tell whether upstreams of a zone belong to the group."""
        return not self._extent.by_zone or zone == self._own.zone

    def includes(self, beat: HostHeartbeat) -> bool:
        """Tell whether a host belongs to the group, by what it says of its own."""
        if beat.host.zone == self._own.zone:
            return True
        return not (self._extent.by_zone or beat.by_zone)

    def is_in_other_group(self, name: str) -> bool:
        """Tell whether a host says that it belongs to another group."""
        beat = self._beats.get(name)
        return beat is not None and not self.includes(beat)

    def _takes_in(self, beat: HostHeartbeat) -> bool:
        """Tell whether the group that a host leads is this host's too."""
        return beat.host.zone == self._own.zone or not beat.by_zone

    def add_host(self, host: HostAddress) -> bool:
        """Take in a host's address; tell whether this run of it was not known."""
        known = self._known.get(host.name)
        if host.name == self._own.name:
            return False
        if known is not None and known.started_ms >= host.started_ms:
            return False
        self._known[host.name] = host
        return True

    def record_heartbeat(self, beat: HostHeartbeat, now: float) -> bool:
        """Take in a heartbeat; tell whether it named hosts not known before.

        One that arrives after a later one, over a connection that was slow to break,
        is left: by an old one a host would follow a lead that has ended, or its own.
        """
        last = self._beats.get(beat.host.name)
        if last is not None and beat.is_before(last):
            return False
        learned = [self.add_host(host) for host in (beat.host, *beat.knows)]
        fresh = last is None or not self.alive(beat.host.name, now)
        if fresh and self.includes(beat):
            self._contest.heard_anew(now)
        self._beats[beat.host.name] = beat
        self._heard[beat.host.name] = self._beat_heard[beat.host.name] = now
        self._highest = max(self._highest, beat.fence)
        if beat.leads:
            self._choose_zones(now)
        return any(learned)

    def record_message(self, name: str, now: float) -> None:
        """Take a message as a sign of life; it may come before a heartbeat."""
        self._heard[name] = now

    def alive(self, name: str, now: float) -> bool:
        """Tell whether a host was heard of lately; this one always is."""
        if name == self._own.name:
            return True
        return now - self._heard.get(name, -HEARTBEAT_TIMEOUT_S) < HEARTBEAT_TIMEOUT_S

    def is_running(self, name: str, now: float) -> bool:
        """Tell whether a host counts as running, though it need not be heard often."""
        return self.silent_s(name, now) < FOLLOWER_TIMEOUT_S and name in self._beats

    def is_leaderless(self, name: str, now: float) -> bool:
        """Tell whether another host, lately heard, neither leads nor follows."""
        beat = self._beats.get(name)
        if beat is None or not self.alive(name, now):
            return False
        return not beat.leads and not beat.follows

    def silent_s(self, name: str, now: float) -> float:
        """Return for how long a host was not heard."""
        heard_at = self._heard.get(name)
        return HEARTBEAT_TIMEOUT_S if heard_at is None else now - heard_at

    def clock_lower_bound(self, name: str, now: float) -> float:
        """Return what another host's clock shows at least, by its last heartbeat.

        Infinity without one: a message to it counts as late.
        """
        beat = self._beats.get(name)
        if beat is None:
            return float("inf")
        return beat.sent_at + now - self._beat_heard[name]

    def peer_list_bounds(self, now: float) -> tuple[int, float]:
        """Return the longest list of the other hosts, and when all had read one.

        A host that has just started and has no list yet can't lead, so what it does not
        know keeps nothing back: else no upstream could be used until it has one.
        """
        beats = [beat for beat in self.running_heartbeats(now) if beat.ready]
        longest = max((beat.upstreams for beat in beats), default=0)
        ages = (self.silent_s(b.host.name, now) + b.upstreams_age_s for b in beats)
        return longest, now - max(ages, default=0.0) - READ_MARGIN_S

    def newest_peer_list_age_s(self, now: float) -> float:
        """Return how old the newest list of other hosts is, infinity without one."""
        return min(
            (
                self.silent_s(beat.host.name, now) + beat.upstreams_age_s
                for beat in self.running_heartbeats(now)
            ),
            default=math.inf,
        )

    def live_beats(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the other hosts that are alive."""
        return [
            beat
            for beat in self._beats.values()
            if self.includes(beat) and self.alive(beat.host.name, now)
        ]

    def running_heartbeats(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the other hosts that count as running."""
        return [
            beat
            for beat in self._beats.values()
            if self.includes(beat) and self.is_running(beat.host.name, now)
        ]

    def leader(self, now: float) -> str | None:
        """Return the name of the host that leads, None without one."""
        term = self.term(now)
        return term.leader if term else None

    def term(self, now: float) -> Term | None:
        """Return the leading host's present term, None without one."""
        beat = self._leading_beat(now)
        other = beat and Term(beat.host.name, beat.fence, beat.by_zone)
        if not self.is_leader:
            return other
        own = Term(self._own.name, self.fence, self._extent.by_zone)
        return max(own, other, key=precedence) if other else own

    def _leading_beat(self, now: float) -> HostHeartbeat | None:
        """Return the last heartbeat of the other host that leads this one, if any."""
        leading = [
            beat
            for beat in self._beats.values()
            if beat.leads and self._takes_in(beat) and self.alive(beat.host.name, now)
        ]
        return max(leading, key=precedence, default=None)

    def update_leadership(self, ready: bool, unix_ms: float, now: float) -> bool:
        """Take the lead or give it up; tell whether that changed."""
        self._choose_zones(now)
        leader = self.leader(now)
        if self.is_leader:
            return self._give_up(leader, unix_ms, now)
        if leader is not None:
            self._vacant_since = now
            self._followed = self.term(now).fence
            return False
        if not ready:
            # What it has not read tells of the others too: hosts that read the store
            # late, all at one moment, would otherwise all lead before they met.
            self._vacant_since = max(self._vacant_since, now + MEET_S - VACANT_S)
            return False
        if self._contest.waits(now) or self._leaves_it_to_others(now):
            return False
        vacant = now - self._vacant_since >= VACANT_S
        if not vacant or not self._is_first(unix_ms, now):
            return False
        self._lead(unix_ms, now)
        return True

    def _leaves_it_to_others(self, now: float) -> bool:
        """Tell whether others follow a lead that this host does not hear yet.

        After a cut one side's leading host gives up at once. A host of that side which
        led before it heard the other's would have all work handed over twice. The lead
        that was lost just now is not meant: others may notice its loss a little later.
        """
        if now - self._vacant_since > UNHEARD_S:
            return False
        return any(beat.follows > self._followed for beat in self.live_beats(now))

    @property
    def backing_off(self) -> bool:
        """Tell whether this host leaves the lead to one that it can't hear."""
        return self._contest.backing_off

    def claim(self, fenced_s: float, unix_ms: float, now: float) -> bool:
        """Contest upstreams that have obeyed an unknown fence; tell whether it did."""
        if not self.is_leader or fenced_s <= FENCED_CLAIM_S:
            return False
        self.resolve_contention(unix_ms, now)
        return True

    def resolve_contention(self, unix_ms: float, now: float) -> None:
        """Decide what to do when upstreams obey a fence that nobody here has.

        Once is no proof: the token may stem from a host that is gone. Again means that
        another host leads that can't be heard. Both would take the upstreams from each
        other and stop each other's work in turn, so the smaller side leaves off, for
        longer each time.
        """
        if self._contest.note(now) and self._is_smaller_side(now):
            self.is_leader = False
            self._contest.leave(now)
            return
        self._highest = max(self._highest, self.fence + CLAIM_STEPS * FENCE_STEP)
        self._lead(unix_ms, now)

    def _is_smaller_side(self, now: float) -> bool:
        present = {self._own.name, *(b.host.name for b in self.live_beats(now))}
        every = {self._own.name, *(host.name for host in self.known_peers)}
        if 2 * len(present) == len(every):
            return min(every) not in present
        return 2 * len(present) < len(every)

    def _lead(self, unix_ms: float, now: float) -> None:
        self.is_leader = True
        self._hand_over.lead_began(now)
        self.fence = next_fence(unix_ms, self._own.name, self._highest)
        self._highest = self._followed = self.fence

    def _give_up(self, leader: str | None, unix_ms: float, now: float) -> bool:
        outranked = leader != self._own.name
        unfit = (self.draining or self.slow) and any(map(is_fit, self.live_beats(now)))
        if not (outranked or unfit or self._hands_over(unix_ms, now)):
            return False
        self.is_leader = False
        self._vacant_since = now
        return True

    def _hands_over(self, unix_ms: float, now: float) -> bool:
        """Tell whether a host that carries more is to lead, and nothing is away."""
        calm = self.store_reachable and not self._contest.recent(now)
        if not calm or self._misses_zone(now):
            return False
        return self._hand_over.is_due(self.live_beats(now), self.fence, unix_ms, now)

    def _misses_zone(self, now: float) -> bool:
        heard = {beat.host.zone for beat in self.running_heartbeats(now)}
        return not {host.zone for host in self.known_peers} <= heard | {self._own.zone}

    def _is_first(self, unix_ms: float, now: float) -> bool:
        fit = [beat.host for beat in self.live_beats(now) if is_fit(beat)]
        if self.draining or self.slow:
            return not fit
        own = rank(self._own, unix_ms)
        return all(own <= rank(other, unix_ms) for other in fit)
