"""Failure detection and leader election in a group of hosts."""

import math

from jackdawspur.group._candidates import is_eligible, rank
from jackdawspur.group._contention import LeadershipContention, is_smaller_side
from jackdawspur.group._extent import MAX_UPSTREAMS, Extent
from jackdawspur.group._leadership_transfer import LeadershipTransfer
from jackdawspur.group._messages import HostAddress, HostHeartbeat
from jackdawspur.group._pauses import PauseDetector
from jackdawspur.group._peer_lists import list_bounds
from jackdawspur.group._terms import Term, precedence
from jackdawspur.group._vacancy import UNHEARD_LEADER_GRACE_S, Vacancy
from jackdawspur.leases import FENCE_STEP, Fence, next_fence

__all__ = ["FOLLOWER_TIMEOUT_S", "HEARTBEAT_INTERVAL_S", "HEARTBEAT_TIMEOUT_S", "Group"]

HEARTBEAT_INTERVAL_S = 0.1
# Four heartbeat intervals: a host that has used up its processor quota is paused for up
# to 0.1 s, and a single lost message must not cause a change of leader.
HEARTBEAT_TIMEOUT_S = 0.4
# Followers of the same leader send heartbeats to each other every second.
FOLLOWER_TIMEOUT_S = 2.5
# Leaders of other groups send heartbeats every second, and offer capacity more often.
OTHER_LEADER_TIMEOUT_S = 2.5
# New leaders send heartbeats without delay, but links must reconnect after a partition.
# An upstream that obeys an unknown fence for longer than this obeys an unreachable one.
# If this is too short, both sides' leaders alternately take upstreams from each other.
CONTENTION_AFTER_S = 0.6
# How far a fence is raised above a refused one; clocks are known to differ by less.
FENCE_JUMP_MS = 5000


class Group:
    """One host's view of its group: it follows the live leader with the highest fence.

    Without one it leads. Two leaders at the same time cause refused calls, but no other
    harm: upstreams obey the higher fence only, and its heartbeats make the other leader
    step down. The leader's heartbeats also state which zones the group covers, which
    the leader decides.
    """

    def __init__(
        self, local: HostAddress, now: float, max_upstreams: int = MAX_UPSTREAMS
    ) -> None:
        self._local = local
        self._peers: dict[str, HostHeartbeat] = {}
        self._seen_at: dict[str, float] = {}
        self._sampled_at: dict[str, float] = {}
        # Lower bounds of the times when the last heartbeats arrived.
        self._arrived_at: dict[str, float] = {}
        self._addresses: dict[str, HostAddress] = {}
        self._vacancy = Vacancy(now)
        self._max_fence: Fence = 0
        self._followed_fence: Fence = 0
        self._extent = Extent(max_upstreams)
        self._contention = LeadershipContention(now)
        self._transfer = LeadershipTransfer(local)
        self.pauses = PauseDetector()
        self.fence: Fence = 0
        self.is_leader = False
        self.draining = False
        self.slow = False
        # Whether the platform's store answers.
        self.store_reachable = False

    @property
    def by_zone(self) -> bool:
        """Return whether the group consists of this host's zone only."""
        return self._extent.by_zone

    @property
    def handed_to(self) -> str:
        """Return the host to which this one last transferred the leadership, if any."""
        return self._transfer.transferred_to

    @property
    def too_large(self) -> bool:
        """Return whether this host's list has too many upstreams for one group."""
        return self._extent.too_large

    @property
    def known_peers(self) -> tuple[HostAddress, ...]:
        """Return the other hosts of the group whose address is known."""
        return tuple(h for h in self._addresses.values() if self.covers(h.zone))

    @property
    def other_group_hosts(self) -> tuple[HostAddress, ...]:
        """Return the hosts of other groups whose address is known."""
        return tuple(h for h in self._addresses.values() if not self.covers(h.zone))

    def other_group_leaders(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the leaders of other groups."""
        return [b for b in self._recent_leaders(now) if not self.includes(b)]

    def _recent_leaders(self, now: float) -> list[HostHeartbeat]:
        """Return the heartbeats of other hosts that led within the timeout."""
        return [
            b
            for b in self._peers.values()
            if b.leads and now - self._seen_at[b.host.name] < OTHER_LEADER_TIMEOUT_S
        ]

    def is_term_active(self, term: Term, since: float, now: float) -> bool:
        """Return whether another group's term, known since `since`, is active.

        Its leader sends heartbeats to hosts whose jobs it has, from their first offer.
        """
        silent_s = min(self.silent_s(term.leader, now), now - since)
        heartbeat = self._peers.get(term.leader)
        changed = heartbeat is not None and heartbeat.fence != term.fence
        # A heartbeat received before `since` may belong to an earlier term.
        seen_since = self._seen_at.get(term.leader, since) > since
        return silent_s < HEARTBEAT_TIMEOUT_S and not (changed and seen_since)

    @property
    def last_heartbeats(self) -> tuple[HostHeartbeat, ...]:
        """Return the last heartbeat of every other host, alive or not."""
        return tuple(self._peers.values())

    def is_term_of_other_group(self, term: Term, now: float) -> bool:
        """Return whether a term is active in a group that now excludes this host."""
        heartbeat = self._peers.get(term.leader)
        if heartbeat is None or not self.is_alive(term.leader, now):
            return False
        goes_on = heartbeat.leads and heartbeat.fence == term.fence
        return goes_on and not self._leads_this_group(heartbeat)

    def set_upstream_count(self, upstreams: int, now: float) -> None:
        """Record the length of this host's list, and update the zones of the group."""
        self._extent.set_upstream_count(upstreams)
        self._choose_zones(now)

    def _choose_zones(self, now: float) -> None:
        """Adopt the zones of the leader's group; decide on them without a leader."""
        heartbeat = None if self.is_leader else self.leader_heartbeat(now)
        if heartbeat is not None:
            self._extent.follow(heartbeat.by_zone)
        else:
            leaders = [b for b in self._recent_leaders(now) if b.by_zone]
            self._extent.decide([b for b in leaders if not self._is_in_zone(b)])

    def _is_in_zone(self, heartbeat: HostHeartbeat) -> bool:
        return heartbeat.host.zone == self._local.zone

    def covers(self, zone: str) -> bool:
        """Return whether a zone belongs to the group."""
        return not self._extent.by_zone or zone == self._local.zone

    def includes(self, heartbeat: HostHeartbeat) -> bool:
        """Return whether a host belongs to the group, according to its heartbeat."""
        by_zone = self._extent.by_zone or heartbeat.by_zone
        return self._is_in_zone(heartbeat) or not by_zone

    def is_in_other_group(self, name: str) -> bool:
        """Return whether a host belongs to another group by its last heartbeat."""
        heartbeat = self._peers.get(name)
        return heartbeat is not None and not self.includes(heartbeat)

    def _leads_this_group(self, heartbeat: HostHeartbeat) -> bool:
        """Return whether the group led by a host includes this host."""
        return self._is_in_zone(heartbeat) or not heartbeat.by_zone

    def add_host(self, host: HostAddress) -> bool:
        """Record a host's address; return whether this incarnation is new."""
        known = self._addresses.get(host.name)
        if host.name == self._local.name:
            return False
        if known is not None and known.started_ms >= host.started_ms:
            return False
        self._addresses[host.name] = host
        return True

    def record_heartbeat(self, heartbeat: HostHeartbeat, now: float) -> bool:
        """Record a heartbeat; return whether it named new hosts or incarnations.

        One that arrives after a later one, over a connection that was slow to break, is
        ignored: it could make this host follow an ended term, or become the leader.
        """
        last = self._peers.get(heartbeat.host.name)
        if last is not None and heartbeat.is_before(last):
            return False
        new_hosts = [self.add_host(host) for host in (heartbeat.host, *heartbeat.knows)]
        newly_alive = last is None or not self.is_alive(heartbeat.host.name, now)
        if newly_alive and self.includes(heartbeat):
            self._contention.reset(now)
        self._peers[heartbeat.host.name] = heartbeat
        self._seen_at[heartbeat.host.name] = self._sampled_at[heartbeat.host.name] = now
        self._arrived_at[heartbeat.host.name] = self.pauses.earliest_arrival(now)
        self._max_fence = max(self._max_fence, heartbeat.fence)
        if heartbeat.leads:
            self._choose_zones(now)
        return any(new_hosts)

    def record_message(self, name: str, now: float) -> None:
        """Record that a message of a host arrived, maybe before its first heartbeat."""
        self._seen_at[name] = now

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a host sent a message within the timeout, or is this host."""
        if name == self._local.name:
            return True
        return now - self._seen_at.get(name, -HEARTBEAT_TIMEOUT_S) < HEARTBEAT_TIMEOUT_S

    def is_running(self, name: str, now: float) -> bool:
        """Return whether a host sent a message within the longer follower timeout."""
        return self.silent_s(name, now) < FOLLOWER_TIMEOUT_S and name in self._peers

    def is_leaderless(self, name: str, now: float) -> bool:
        """Return whether another live host neither leads nor follows a leader."""
        heartbeat = self._peers.get(name)
        if heartbeat is None or not self.is_alive(name, now):
            return False
        return not heartbeat.leads and not heartbeat.follows

    def silent_s(self, name: str, now: float) -> float:
        """Return the time since the last message of a host."""
        seen_at = self._seen_at.get(name)
        return HEARTBEAT_TIMEOUT_S if seen_at is None else now - seen_at

    def clock_lower_bound(self, name: str, now: float) -> float:
        """Return a lower bound of a host's clock; infinity if it sent no heartbeat."""
        heartbeat = self._peers.get(name)
        if heartbeat is None:
            return float("inf")
        return heartbeat.sent_at + now - self._sampled_at[name]

    def peer_list_bounds(self, now: float) -> tuple[int, float]:
        """Return the maximum length of peers' lists, and when all had read theirs.

        A list ages since the heartbeat that stated its age, whatever arrived since.
        """
        list_ages = [
            (b, now - self._arrived_at[b.host.name] + b.upstreams_age_s)
            for b in self.running_heartbeats(now)
        ]
        return list_bounds(list_ages, now)

    def newest_peer_list_age_s(self, now: float) -> float:
        """Return the age of the newest list that a peer may have, infinity if none has.

        A peer may have read its list again until its last message.
        """
        running = self.running_heartbeats(now)
        ages_s = [self.silent_s(b.host.name, now) + b.upstreams_age_s for b in running]
        return min(ages_s, default=math.inf)

    def live_heartbeats(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the peers for which `is_alive` holds."""
        return [
            heartbeat
            for heartbeat in self._peers.values()
            if self.includes(heartbeat) and self.is_alive(heartbeat.host.name, now)
        ]

    def running_heartbeats(self, now: float) -> list[HostHeartbeat]:
        """Return the last heartbeats of the peers for which `is_running` holds."""
        return [
            heartbeat
            for heartbeat in self._peers.values()
            if self.includes(heartbeat) and self.is_running(heartbeat.host.name, now)
        ]

    def leader(self, now: float) -> str | None:
        """Return the name of the leader, None without one."""
        term = self.term(now)
        return term.leader if term else None

    def term(self, now: float) -> Term | None:
        """Return the leader's current term, None without a leader."""
        last = self.leader_heartbeat(now)
        other = last and Term(last.host.name, last.fence, last.by_zone)
        if not self.is_leader:
            return other
        local = Term(self._local.name, self.fence, self._extent.by_zone)
        return max(local, other, key=precedence) if other else local

    def leader_heartbeat(self, now: float) -> HostHeartbeat | None:
        """Return the last heartbeat of the leader if it is another host, else None."""
        leaders = [
            b
            for b in self._peers.values()
            if b.leads and self._leads_this_group(b) and self.is_alive(b.host.name, now)
        ]
        return max(leaders, key=precedence, default=None)

    def update_leadership(self, ready: bool, unix_ms: float, now: float) -> bool:
        """Start or stop leading if due; return whether that changed."""
        pause_s = self.pauses.update(now)
        if pause_s and self._resign_after_pause(pause_s, now):
            return True
        self._choose_zones(now)
        leader = self.leader(now)
        if self.is_leader:
            return self._step_down(leader, unix_ms, now)
        if leader is not None:
            self._vacancy.restart(now)
            self._followed_fence = self.term(now).fence
            return False
        if not ready:
            self._vacancy.wait_for_discovery(now)
            return False
        if self._contention.must_wait(now) or self._defers_to_unheard_leader(now):
            return False
        if not self._vacancy.is_over(now) or not self._is_first(unix_ms, now):
            return False
        self._start_leading(unix_ms, now)
        return True

    def _resign_after_pause(self, pause_s: float, now: float) -> bool:
        """Stop leading if another host may lead; return whether this host led.

        The others were silent because their messages were not read. The leader that
        they have elected may use upstreams that are not on this host's list, so this
        host must not take over before it has received their heartbeats.
        """
        self._vacancy.restart_after_pause(now)
        resigns = self.is_leader and bool(self.running_heartbeats(now - pause_s))
        self.is_leader &= not resigns
        return resigns

    def _defers_to_unheard_leader(self, now: float) -> bool:
        """Return whether others follow a leader that this host does not know yet.

        After a network partition the leader of one side steps down at once. If a host
        of that side led before it knows the other leader, all jobs would be handed over
        twice. The leader lost last doesn't count: others may notice its loss later.
        """
        if self._vacancy.lasts_longer_than(UNHEARD_LEADER_GRACE_S, now):
            return False
        return any(b.follows > self._followed_fence for b in self.live_heartbeats(now))

    @property
    def backing_off(self) -> bool:
        """Return whether this host has backed off for a leader that it can't reach."""
        return self._contention.backing_off

    def contend_for_upstreams(
        self, fenced_s: float, unix_ms: float, now: float
    ) -> bool:
        """Resolve contention if `fenced_s` is too long; return whether it was."""
        if not self.is_leader or fenced_s <= CONTENTION_AFTER_S:
            return False
        self.resolve_contention(unix_ms, now)
        return True

    def resolve_contention(self, unix_ms: float, now: float) -> None:
        """Raise the fence above an unknown one, or back off.

        The first time, that fence may be of a host that is gone. The second time within
        `CONTENTION_WINDOW_S`, it is of a leader that this host can't reach. Both would
        alternately take the upstreams and stop each other's runs, so the smaller side
        backs off, for longer each time.
        """
        live = {self._local.name, *(b.host.name for b in self.live_heartbeats(now))}
        known = {self._local.name, *(host.name for host in self.known_peers)}
        if self._contention.record(now) and is_smaller_side(live, known):
            self.is_leader = False
            self._contention.back_off(now)
            return
        self._max_fence = max(self._max_fence, self.fence + FENCE_JUMP_MS * FENCE_STEP)
        self._start_leading(unix_ms, now)

    def _start_leading(self, unix_ms: float, now: float) -> None:
        self.is_leader = True
        self._transfer.leadership_started(now)
        self.fence = next_fence(unix_ms, self._local.name, self._max_fence)
        self._max_fence = self._followed_fence = self.fence

    def _step_down(self, leader: str | None, unix_ms: float, now: float) -> bool:
        outranked = leader != self._local.name
        must_step_down = (self.draining or self.slow) and any(
            map(is_eligible, self.live_heartbeats(now))
        )
        if not (outranked or must_step_down or self._should_transfer(unix_ms, now)):
            return False
        self.is_leader = False
        self._vacancy.restart(now)
        return True

    def _should_transfer(self, unix_ms: float, now: float) -> bool:
        """Return whether to transfer to a stronger host, if the group is stable."""
        stable = self.store_reachable and not self._contention.is_recent(now)
        if not stable or self._is_zone_missing(now):
            return False
        return self._transfer.is_due(
            self.live_heartbeats(now), self.fence, unix_ms, now
        )

    def _is_zone_missing(self, now: float) -> bool:
        running = {b.host.zone for b in self.running_heartbeats(now)}
        return not {h.zone for h in self.known_peers} <= running | {self._local.zone}

    def _is_first(self, unix_ms: float, now: float) -> bool:
        eligible = [b.host for b in self.live_heartbeats(now) if is_eligible(b)]
        if self.draining or self.slow:
            return not eligible
        local = rank(self._local, unix_ms)
        return all(local <= rank(other, unix_ms) for other in eligible)
