"""The part of a host that acts while it leads: drives the dispatcher."""

import logging
from dataclasses import replace
from typing import Protocol

from jackdawspur.front._availability import Availability
from jackdawspur.front._clock import now_s
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._load_exchange import LoadExchange
from jackdawspur.front._ports import UpstreamPort
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import (
    Group,
    GroupMessage,
    HostAddress,
    JobOffer,
    JobProgress,
    JobRedirect,
    JobResult,
    is_stale_message,
)
from jackdawspur.leases import Fence, UpstreamEntry
from jackdawspur.model import HostId
from jackdawspur.runs import (
    DEFAULT_POLICY,
    AnswerJob,
    DecisionRecord,
    Dispatcher,
    DropCause,
    Effect,
    InitialTasksStarted,
    JobLost,
    JobNoted,
    Offer,
    OverloadPolicy,
    PollUpstream,
    Progress,
    RedirectJob,
    StartRun,
    StopRun,
)

__all__ = ["LeaderDriver"]

MS_PER_S = 1000.0
# A leader reads the list of upstreams every 0.5 s. A peer whose list is newer by more
# than this may know upstreams that this host doesn't.
MAX_LIST_LAG_S = 0.8

log = logging.getLogger("jackdawspur.decisions")


class LeaderOwner(Protocol):
    """The host's parts that the leader driver uses."""

    address: HostAddress
    group: Group
    metrics: HostMetrics
    routes: RouteTable
    view: StoreView
    callers: CallerService

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""

    def flush_soon(self) -> None:
        """Schedule a flush at the end of this pass of the loop."""

    def flush_at(self, when: float) -> None:
        """Schedule a flush at a time, unless an earlier one is scheduled."""


class LeaderDriver:
    """Passes events to the dispatcher and carries out its effects."""

    def __init__(
        self,
        owner: LeaderOwner,
        upstreams: UpstreamPort,
        now: float,
        policy: OverloadPolicy = DEFAULT_POLICY,
    ) -> None:
        self._owner = owner
        self._upstreams = upstreams
        address = owner.address
        local_id = HostId(address.zone, address.name, address.started_ms)
        self._dispatcher = Dispatcher(local_id, now, policy)
        self._exchange = LoadExchange(self._dispatcher, owner)
        self.availability = Availability()
        self._reported_progress: dict[str, Progress] = {}
        # Whether a job was handed over since the peers' lists were last compared.
        self._handover_received = False
        self._actions = {
            StartRun: self._start,
            StopRun: self._stop,
            PollUpstream: self._poll,
            AnswerJob: self._answer,
            RedirectJob: self._redirect,
            DecisionRecord: self._log_decision,
            InitialTasksStarted: self._record_started,
            JobLost: self._record_lost,
            JobNoted: self._record_event,
        }

    @property
    def dispatcher(self) -> Dispatcher:
        """Return the dispatcher."""
        return self._dispatcher

    @property
    def exchange(self) -> LoadExchange:
        """Return the exchange of capacity, load and learned values with other hosts."""
        return self._exchange

    def leadership_changed(self, now: float) -> None:
        """Start or stop leading, according to the group."""
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
            self._update_peer_lists(now)
            # A leader that continues under a higher fence knows the demand itself.
            was_follower = not self._dispatcher.is_leader
            self._dispatcher.start_leading(group.fence, now)
            if was_follower:
                self._exchange.take_over_demand(now)
        else:
            self._dispatcher.stop_leading(now)
            self.availability.clear()
            self._upstreams.close_connections_except(set())

    def upstreams_changed(self, now: float) -> None:
        """Apply the newest list of upstreams."""
        group = self._owner.group
        services = self._owner.routes.services
        priorities = self._owner.routes.priorities_by_service
        self._dispatcher.load_tracker.set_priorities(priorities)
        entries = [
            self._mark_if_evacuated(entry)
            for entry in self._owner.view.entries
            if group.covers(entry.id.zone) and entry.service in services
        ]
        listed = self._owner.view.entries
        self._dispatcher.set_upstreams(entries, now, listed, group.by_zone)
        if self._dispatcher.is_leader:
            pooled = {u.entry.address for u in self._dispatcher.upstream_pool.upstreams}
            self._upstreams.close_connections_except(
                {e.address for e in entries} | pooled
            )
        self._owner.flush_soon()

    def _mark_if_evacuated(self, entry: UpstreamEntry) -> UpstreamEntry:
        """Return an entry, marked as draining if its zone is evacuated.

        Its upstream finishes the runs that it has, and no other run starts there.
        """
        if entry.id.zone in self._owner.view.evacuated:
            return replace(entry, draining=True)
        return entry

    def receive_offer(self, message: JobOffer, now: float) -> None:
        """Accept a job of another host if it is offered to the current term.

        A host that doesn't know the current term yet repeats its offer for the previous
        one. If that counted as a new job, a job that was already started could be
        refused as not run.
        """
        if self._is_stale(message, now):
            return
        self._owner.group.record_message(message.sender, now)
        is_current = message.fence == self._owner.group.fence
        if not self._dispatcher.is_leader or not is_current:
            return
        self._handover_received |= bool(message.handed)
        arrived = now - message.age_ms / MS_PER_S
        deadline = now + message.left_ms / MS_PER_S
        self.accept_offer(
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

    def _is_stale(self, message: JobOffer, now: float) -> bool:
        """Return whether an offer was delayed in transit; if so, count and log it.

        An offer may be held up for seconds by a network partition or by a connection
        that broke. After 0.4 s the job's host regards this host as lost and redirects
        the job or replies to the caller, which retries. If the offer counted as a new
        job, the job would run twice at the same time. Offers of healthy hosts are a few
        milliseconds old, and are repeated anyway.
        """
        if not is_stale_message(message.leader_at, now):
            return False
        self._owner.metrics.count("late_offers")
        log.info(
            "late offer dropped",
            extra={
                "job": message.job.id,
                "host": message.sender,
                "late_s": round(now - message.leader_at, 3),
            },
        )
        return True

    def accept_offer(self, offer: Offer, now: float) -> None:
        """Pass a job to the dispatcher and schedule a flush."""
        self._dispatcher.offer(offer, now)
        self._owner.flush_soon()

    def cancel_job(self, host: str, job: str, call: int, now: float) -> None:
        """Cancel a job whose caller left."""
        self._dispatcher.drop(host, job, call, now)
        self._owner.flush_soon()

    def drop_handed_over(self, host: str, follows: Fence, now: float) -> None:
        """Drop the jobs of a host that hands them over to the leader of a later term.

        The two leaders may be partitioned from each other and reach different
        upstreams, so fencing can't prevent two runs of a task. Both receive the
        heartbeats of the job's host, which repeat what one lost message would miss.
        """
        if self._dispatcher.is_leader and follows > self._owner.group.fence:
            self._dispatcher.drop_host(host, DropCause.HANDED_ON, now)
            self._owner.flush_soon()

    def needs_capacity(self, now: float) -> bool:
        """Return whether this host leads and recent jobs found no free capacity."""
        return self._dispatcher.is_leader and self._dispatcher.needs_capacity(now)

    def is_group_available(self, now: float) -> bool:
        """Return whether the group can serve new jobs, by its leader's decision."""
        leader = self._owner.group.leader_heartbeat(now)
        if self._owner.group.is_leader or leader is None:
            return self.availability.is_available
        return leader.available

    def hosts_with_jobs(self) -> set[str]:
        """Return the hosts that have open jobs here."""
        return self._dispatcher.open_jobs.hosts()

    def fenced_s(self, now: float) -> float:
        """Return for how long an upstream has obeyed a higher fence, 0 if none does."""
        since = self._dispatcher.upstream_pool.fenced_since
        return now - since if since is not None else 0.0

    def progress_by_host(self) -> dict[str, tuple[JobProgress, ...]]:
        """Return the progress that changed since the last call, by the job's host."""
        if not self._dispatcher.is_leader:
            return {}
        changes: dict[str, tuple[JobProgress, ...]] = {}
        reported: dict[str, Progress] = {}
        crashes = self._dispatcher.upstream_pool.crashes
        jobs_by_host = self._dispatcher.open_jobs.progress_by_host(crashes)
        for host, jobs in jobs_by_host.items():
            reported.update(jobs)
            changed = [
                job
                for job, progress in jobs.items()
                if self._reported_progress.get(job) != progress
            ]
            changes[host] = tuple(JobProgress(job, jobs[job]) for job in changed)
        self._reported_progress = reported
        return changes

    def tick(self, now: float) -> None:
        """Drop jobs of unresponsive hosts, and let the dispatcher handle timeouts."""
        if not self._dispatcher.is_leader:
            return
        group = self._owner.group
        for host in self._dispatcher.open_jobs.hosts():
            if not group.is_alive(host, now):
                self._dispatcher.drop_host(host, DropCause.SILENT, now)
        other_group_hosts = set(
            filter(group.is_in_other_group, self._dispatcher.open_jobs.hosts())
        )
        self._dispatcher.drop_unrefreshed(other_group_hosts, now)
        self._update_peer_lists(now)
        self._update_availability(now)
        self._dispatcher.tick(now)

    def _update_availability(self, now: float) -> None:
        """Record whether the group can serve new jobs.

        A group without other groups stays available: callers have nowhere else to go,
        and its refusals tell them when to retry.
        """
        group = self._owner.group
        is_only_group = not (group.by_zone and group.other_group_hosts)
        can_serve = is_only_group or self._dispatcher.can_serve(now)
        self.availability.update(can_serve, now)

    def _update_peer_lists(self, now: float) -> None:
        self._handover_received = False
        group, view = self._owner.group, self._owner.view
        longest, all_read_at = group.peer_list_bounds(now)
        behind = view.age_s(now) - group.newest_peer_list_age_s(now) > MAX_LIST_LAG_S
        listing = self._dispatcher.upstream_pool.listing
        listing.update_peers(longest, all_read_at, behind)

    def flush(self, now: float) -> None:
        """Carry out the effects that the dispatcher requests."""
        if self._handover_received:
            # The job's host may not have counted as running at the last comparison.
            self._update_peer_lists(now)
        for effect in self._dispatcher.flush(now):
            self._carry_out(effect)
        overdue_at = self._dispatcher.overdue_at
        if overdue_at is not None:
            self._owner.flush_at(overdue_at)

    def _carry_out(self, effect: Effect) -> None:
        self._actions[type(effect)](effect)

    def _start(self, effect: StartRun) -> None:
        self._owner.metrics.count("starts")

        def replied(outcome) -> None:
            self._dispatcher.start_replied(effect, outcome, now_s())
            self._owner.flush_soon()

        self._upstreams.start(effect, replied)

    def _stop(self, effect: StopRun) -> None:
        self._owner.metrics.count("stops")

        def replied(outcome) -> None:
            self._dispatcher.stop_replied(effect, outcome, now_s())
            self._owner.flush_soon()

        self._upstreams.stop(effect, replied)

    def _poll(self, effect: PollUpstream) -> None:
        self._owner.metrics.count("looks")

        def replied(result) -> None:
            self._dispatcher.poll_replied(effect, result, now_s())
            self._owner.flush_soon()

        self._upstreams.poll_runs(effect, replied)

    def _answer(self, answer: AnswerJob) -> None:
        message = JobResult(answer.job, answer.call, answer.handovers, answer.outcome)
        if answer.host == self._owner.address.name:
            self._owner.callers.receive_result(message)
        else:
            self._owner.send(answer.host, message)

    def _redirect(self, effect: RedirectJob) -> None:
        remote = effect.remote_leader
        message = JobRedirect(
            effect.job, effect.call, effect.attempt, remote.leader, remote.fence
        )
        if effect.host == self._owner.address.name:
            self._owner.callers.redirect(message)
        else:
            self._owner.send(effect.host, message)

    def _log_decision(self, note: DecisionRecord) -> None:
        inputs = dict(note.inputs)
        log.info(
            note.decision.value,
            extra={"job": note.job, "upstream": note.upstream, "inputs": inputs},
        )

    def _record_started(self, event: InitialTasksStarted) -> None:
        self._owner.metrics.record_last_start(event.route, event.last_start_ms)

    def _record_lost(self, lost: JobLost) -> None:
        metrics = self._owner.metrics
        metrics.record_loss(lost.route, lost.cause)
        if lost.refused_after_ms is not None:
            cause, wait_ms = lost.cause.value, lost.refused_after_ms
            metrics.record_refusal(lost.route, lost.priority, cause, wait_ms)

    def _record_event(self, noted: JobNoted) -> None:
        self._owner.metrics.record_event(noted.event, noted.route, noted.priority)
