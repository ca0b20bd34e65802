"""The leading host's part: decisions, and the calls they ask for."""

import logging
from dataclasses import replace
from typing import Protocol

from jackdawspur.front._clock import now_s
from jackdawspur.front._gauges import Gauges
from jackdawspur.front._ports import UpstreamPort
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import (
    CapacityOffer,
    Group,
    GroupMessage,
    HostAddress,
    HostHeartbeat,
    JobOffer,
    JobProgress,
    JobRedirect,
    JobResult,
    is_stale_message,
)
from jackdawspur.leases import Fence, UpstreamEntry
from jackdawspur.model import HostId
from jackdawspur.runs import (
    AnswerJob,
    DecisionRecord,
    Dispatcher,
    DropCause,
    Effect,
    InitialTasksStarted,
    JobLost,
    LearnedStats,
    Offer,
    PollUpstream,
    Progress,
    RedirectJob,
    RemoteLeader,
    SpareCapacity,
    StartRun,
    StopRun,
    split_round_robin,
)

__all__ = ["LeadDriver"]

MS_PER_S = 1000.0
# Hosts read the list every 0.5 s. Where another one's is newer by more than that, it
# may know upstreams that this one doesn't.
BEHIND_S = 0.8

log = logging.getLogger("jackdawspur.decisions")


class LeadOwner(Protocol):
    """Carry what the leading host says."""

    address: HostAddress
    group: Group
    gauges: Gauges
    routes: RouteTable
    views: StoreView
    callers: CallerService

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""

    def flush_soon(self) -> None:
        """Let the decisions act at the end of this pass."""

    def flush_at(self, when: float) -> None:
        """Let the decisions act at a time, if not before."""


class LeadDriver:
    """Feed the dispatcher and carry out its effects."""

    def __init__(self, owner: LeadOwner, upstreams: UpstreamPort, now: float) -> None:
        self._owner = owner
        self._upstreams = upstreams
        address = owner.address
        own = HostId(address.zone, address.name, address.started_ms)
        self._dispatcher = Dispatcher(own, now)
        self._told: dict[str, Progress] = {}
        self._actions = {
            StartRun: self._start,
            StopRun: self._stop,
            PollUpstream: self._look,
            AnswerJob: self._answer,
            RedirectJob: self._pass_on,
            DecisionRecord: self._note,
            InitialTasksStarted: self._begun,
            JobLost: self._lost,
        }

    @property
    def dispatcher(self) -> Dispatcher:
        """Return the decisions."""
        return self._dispatcher

    def leadership_changed(self, now: float) -> None:
        """Begin or cease to lead."""
        group = self._owner.group
        log.info(
            "leadership",
            extra={
                "leads": group.is_leader,
                "fence": group.fence,
                "leader": group.leader(now),
                "handed_to": group.handed_to,
            },
        )
        if group.is_leader:
            self.upstreams_changed(now)
            self._compare_lists(now)
            self._dispatcher.start_leading(group.fence, now)
        else:
            self._dispatcher.stop_leading(now)
            self._upstreams.close_connections_except(set())

    def upstreams_changed(self, now: float) -> None:
        """Use the newest list of upstreams."""
        group = self._owner.group
        services = self._owner.routes.services
        entries = [
            self._usable(entry)
            for entry in self._owner.views.entries
            if group.covers(entry.id.zone) and entry.service in services
        ]
        listed = self._owner.views.entries
        self._dispatcher.set_upstreams(entries, now, listed, group.by_zone)
        if self._dispatcher.is_leader:
            held = {
                one.entry.address for one in self._dispatcher.upstream_pool.upstreams
            }
            self._upstreams.close_connections_except(
                {e.address for e in entries} | held
            )
        self._owner.flush_soon()

    def _usable(self, entry: UpstreamEntry) -> UpstreamEntry:
        """Let an upstream of an evacuated zone end what it runs and take no more."""
        if entry.id.zone in self._owner.views.evacuated:
            return replace(entry, draining=True)
        return entry

    def offered(self, message: JobOffer, now: float) -> None:
        """Take a job of another host, if it is meant for the present term.

        A host that has not heard of the present one yet repeats an offer for the one
        before. Taken as new, a job that was started then could be refused as not run.
        """
        if self._is_late(message, now):
            return
        self._owner.group.record_message(message.sender, now)
        present = message.fence == self._owner.group.fence
        if not self._dispatcher.is_leader or not present:
            return
        arrived = now - message.age_ms / MS_PER_S
        deadline = now + message.left_ms / MS_PER_S
        self.take(
            Offer(
                message.job,
                message.sender,
                message.call,
                arrived,
                deadline,
                message.handed,
                message.progress,
                message.far,
                message.attempt,
                message.zone,
                message.all_zones,
                message.outranked,
            ),
            now,
        )

    def _is_late(self, message: JobOffer, now: float) -> bool:
        """Tell whether an offer was held up on its way, and say so in the log.

        It may wait seconds for the end of a cut, or of a connection that broke. Its
        host counts this one as lost after 0.4 s, and then has the job run elsewhere or
        tells its caller, who asks again. Taken as new the job would run twice at one
        time. Sound hosts' offers are a few milliseconds old, and repeated anyway.
        """
        if not is_stale_message(message.leader_at, now):
            return False
        self._owner.gauges.count("late_offers")
        log.info(
            "late offer dropped",
            extra={
                "job": message.job.id,
                "host": message.sender,
                "late_s": round(now - message.leader_at, 3),
            },
        )
        return True

    def take(self, offer: Offer, now: float) -> None:
        """Take a job, and decide at the end of this pass."""
        self._dispatcher.offer(offer, now)
        self._owner.flush_soon()

    def dropped(self, host: str, job: str, call: int, now: float) -> None:
        """Stop a job whose caller left."""
        self._dispatcher.drop(host, job, call, now)
        self._owner.flush_soon()

    def follower_heard(self, host: str, follows: Fence, now: float) -> None:
        """Stop the jobs of a host that hands them to a later lead.

        The two leading hosts may not hear each other and reach different upstreams, so
        no fence would keep the runs of one job apart. Its host is heard by both, and
        its heartbeats repeat what a single message might lose.
        """
        if self._dispatcher.is_leader and follows > self._owner.group.fence:
            self._dispatcher.drop_host(host, DropCause.HANDED_ON, now)
            self._owner.flush_soon()

    def room_heard(self, beat: HostHeartbeat, now: float) -> None:
        """Take in the room that the leading host of another group offers."""
        room = {one.service: SpareCapacity(one.free, one.slow) for one in beat.room}
        place = RemoteLeader(beat.host.name, beat.fence)
        self._dispatcher.update_offered_capacity(place, room, now)

    def learned(self, now: float) -> LearnedStats | None:
        """Return what to tell the hosts of the own group of upstreams and routes."""
        return self._dispatcher.estimates.next_update(now)

    def learned_heard(self, beat: HostHeartbeat, now: float) -> None:
        """Keep what the host that leads this one has learned."""
        leads = beat.host.name == self._owner.group.leader(now)
        if beat.learned is not None and leads:
            self._dispatcher.estimates.merge_update(beat.learned, now)

    def room_for(
        self, leaders: list[str], now: float
    ) -> dict[str, tuple[CapacityOffer, ...]]:
        """Return what room is offered to each leading host of another group.

        Those whose jobs found none have all of it, if there are any.
        """
        beats = self._owner.group.other_group_leaders(now)
        wanting = {beat.host.name for beat in beats if beat.wants_room}
        takers = [name for name in leaders if name in wanting] or leaders
        room: dict[str, list[CapacityOffer]] = {name: [] for name in leaders}
        for service, spare in self._dispatcher.spare_capacity(now).items():
            fast, slow = (
                split_round_robin(spare.fast, takers),
                split_round_robin(spare.slow, takers),
            )
            for name in takers:
                room[name].append(CapacityOffer(service, fast[name], slow[name]))
        return {name: tuple(offers) for name, offers in room.items()}

    def wants_room(self, now: float) -> bool:
        """Tell whether this host leads a group in which jobs found no room."""
        return self._dispatcher.is_leader and self._dispatcher.needs_capacity(now)

    def hosts(self) -> set[str]:
        """Return the hosts whose jobs are here."""
        return self._dispatcher.open_jobs.hosts()

    def fenced_for(self, now: float) -> float:
        """Return for how long an upstream has obeyed a higher fence."""
        since = self._dispatcher.upstream_pool.fenced_since
        return now - since if since is not None else 0.0

    def progress_by_host(self) -> dict[str, tuple[JobProgress, ...]]:
        """Return what is new of jobs' tasks, by the host whose caller waits."""
        if not self._dispatcher.is_leader:
            return {}
        news: dict[str, tuple[JobProgress, ...]] = {}
        told: dict[str, Progress] = {}
        crashes = self._dispatcher.upstream_pool.crashes
        jobs_of = self._dispatcher.open_jobs.progress_by_host(crashes)
        for host, jobs in jobs_of.items():
            told.update(jobs)
            fresh = [job for job, one in jobs.items() if self._told.get(job) != one]
            news[host] = tuple(JobProgress(job, jobs[job]) for job in fresh)
        self._told = told
        return news

    def tick(self, now: float) -> None:
        """Give up what is late or gone."""
        if not self._dispatcher.is_leader:
            return
        group = self._owner.group
        for host in self._dispatcher.open_jobs.hosts():
            if not group.is_alive(host, now):
                self._dispatcher.drop_host(host, DropCause.SILENT, now)
        outsiders = set(
            filter(group.is_in_other_group, self._dispatcher.open_jobs.hosts())
        )
        self._dispatcher.drop_unrefreshed(outsiders, now)
        self._compare_lists(now)
        self._dispatcher.tick(now)

    def _compare_lists(self, now: float) -> None:
        group, views = self._owner.group, self._owner.views
        longest, all_read_at = group.peer_list_bounds(now)
        behind = views.age_s(now) - group.newest_peer_list_age_s(now) > BEHIND_S
        self._dispatcher.update_peer_lists(longest, all_read_at, behind)

    def flush(self, now: float) -> None:
        """Carry out what the decisions ask for."""
        for effect in self._dispatcher.flush(now):
            self._act(effect)
        overdue_at = self._dispatcher.overdue_at
        if overdue_at is not None:
            self._owner.flush_at(overdue_at)

    def _act(self, effect: Effect) -> None:
        self._actions[type(effect)](effect)

    def _start(self, order: StartRun) -> None:
        self._owner.gauges.count("starts")

        def replied(outcome) -> None:
            self._dispatcher.start_replied(order, outcome, now_s())
            self._owner.flush_soon()

        self._upstreams.start(order, replied)

    def _stop(self, order: StopRun) -> None:
        self._owner.gauges.count("stops")

        def replied(outcome) -> None:
            self._dispatcher.stop_replied(order, outcome, now_s())
            self._owner.flush_soon()

        self._upstreams.stop(order, replied)

    def _look(self, order: PollUpstream) -> None:
        self._owner.gauges.count("looks")

        def replied(result) -> None:
            self._dispatcher.poll_replied(order, result, now_s())
            self._owner.flush_soon()

        self._upstreams.poll_runs(order, replied)

    def _answer(self, answer: AnswerJob) -> None:
        message = JobResult(answer.job, answer.call, answer.handovers, answer.outcome)
        if answer.host == self._owner.address.name:
            self._owner.callers.answered(message)
        else:
            self._owner.send(answer.host, message)

    def _pass_on(self, order: RedirectJob) -> None:
        place = order.remote_leader
        message = JobRedirect(
            order.job, order.call, order.attempt, place.leader, place.fence
        )
        if order.host == self._owner.address.name:
            self._owner.callers.passed_on(message)
        else:
            self._owner.send(order.host, message)

    def _note(self, note: DecisionRecord) -> None:
        inputs = dict(note.inputs)
        log.info(
            note.decision.value,
            extra={"job": note.job, "upstream": note.upstream, "inputs": inputs},
        )

    def _begun(self, begun: InitialTasksStarted) -> None:
        self._owner.gauges.begun(begun.route, begun.last_start_ms)

    def _lost(self, lost: JobLost) -> None:
        self._owner.gauges.lost(lost.route, lost.cause)
