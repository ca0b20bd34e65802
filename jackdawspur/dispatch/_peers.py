"""Messages between entry hosts: heartbeats, loans, forwards and delegations."""

from dataclasses import replace

from jackdawspur.dispatch._answers import end_job, failure
from jackdawspur.dispatch._delegate import receive_delegate_answer
from jackdawspur.dispatch._effects import SendPeerMessage
from jackdawspur.dispatch._events import (
    CancelRequested,
    PeerMessageReceived,
    Polled,
    Submitted,
)
from jackdawspur.dispatch._forward import open_remote_call, receive_forward_answer
from jackdawspur.dispatch._ingress import refuse_at_ingress
from jackdawspur.dispatch._job import Job
from jackdawspur.dispatch._loads import update_peer_loads
from jackdawspur.dispatch._place import enqueue
from jackdawspur.dispatch._state import State
from jackdawspur.dispatch._submit import (
    cancel_job,
    expire_job,
    poll,
    request_cancel,
    submit,
)
from jackdawspur.health import UNLIMITED
from jackdawspur.messages import (
    CancelForward,
    Delegate,
    DelegateAnswer,
    Forward,
    ForwardAnswer,
    Heartbeat,
    Pulse,
    SlotGrant,
    SlotRequest,
    SlotReturn,
)
from jackdawspur.model import FailureCode, HostId, SubmissionId, UpstreamId
from jackdawspur.sharing import SlotDemand

__all__ = [
    "grant_urgent_requests",
    "handle_peer_message",
    "send_heartbeats",
    "request_and_return_slots",
]

MS_PER_S = 1000.0
NO_VERSION = -1


def handle_peer_message(state: State, event: PeerMessageReceived, now: float) -> None:
    """Handle a message from another entry host."""
    handler = _HANDLERS.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


def _handle_heartbeat(
    state: State, sender: HostId, heartbeat: Heartbeat, now: float
) -> None:
    state.view.record_heartbeat(heartbeat, now)
    if sender.zone == state.local_id.zone:
        state.health.apply_peer_report(sender, heartbeat.bad_upstreams, now)
        if heartbeat.reports_usage:
            state.quotas.update_peer_usage(sender, heartbeat.usage, now)
    update_peer_loads(state, now)


def _handle_pulse(state: State, sender: HostId, pulse: Pulse, now: float) -> None:
    state.view.record_pulse(sender, pulse, now)
    update_peer_loads(state, now)


def _handle_forward(state: State, sender: HostId, message: Forward, now: float) -> None:
    """Handle a forwarded call like a local one; the answer goes to its sender."""
    call = open_remote_call(state, sender, message.call)
    if call is None:
        return
    if message.request is None or message.submission.owner != state.local_id:
        polled = Polled(call, message.customer, message.submission, message.wait)
        poll(state, polled, now)
        return
    request = replace(message.request, submission=message.submission)
    submit(state, Submitted(call, request, message.wait), now)


def _handle_forwarded_cancel(
    state: State, sender: HostId, message: CancelForward, now: float
) -> None:
    job = state.jobs.get(message.submission)
    if job is not None and job.origin == sender:
        cancel_job(state, job, now)
        return
    call = open_remote_call(state, sender, message.call)
    if call is not None:
        request_cancel(
            state, CancelRequested(call, message.customer, message.submission), now
        )


def _handle_forward_answer(
    state: State, sender: HostId, message: ForwardAnswer, _now: float
) -> None:
    receive_forward_answer(state, sender, message)


def _handle_delegate(
    state: State, sender: HostId, message: Delegate, now: float
) -> None:
    """Run a job for its owner, but only once if the owner repeats the message."""
    if message.submission.owner != sender:
        return
    if message.submission in state.dropped_delegations:
        state.emit(SendPeerMessage(sender, _answer_dropped(message.submission)))
        return
    known = state.jobs.get(message.submission)
    if known is not None:
        if known.answer is not None:
            repeated = DelegateAnswer(known.submission, known.answer)
            state.emit(SendPeerMessage(sender, repeated))
        return
    deadline = now + message.remaining_ms / MS_PER_S
    job = Job(message.submission, message.request, now, deadline, origin=sender)
    state.jobs[job.submission] = job
    state.schedule(deadline, lambda at: expire_job(state, job, at))
    refused = refuse_at_ingress(state, message.request, now)
    if refused is not None:
        end_job(state, job, refused, now)
        return
    enqueue(state, job, now)


def _answer_dropped(submission: SubmissionId) -> DelegateAnswer:
    text = "the job ended at another host, which no longer keeps its answer"
    code = FailureCode.OUTCOME_UNKNOWN
    return DelegateAnswer(submission, failure(code, text, submission))


def _handle_delegate_answer(
    state: State, sender: HostId, message: DelegateAnswer, now: float
) -> None:
    returned = receive_delegate_answer(state, sender, message, now)
    if returned is not None:
        enqueue(state, returned, now)


def _handle_slot_request(
    state: State, sender: HostId, message: SlotRequest, now: float
) -> None:
    waiting = state.queue.waiting()
    grant = state.slots.lend(
        sender, message, waiting, now, unlendable_upstreams(state, now)
    )
    if grant is not None:
        state.emit(SendPeerMessage(sender, grant))


def _handle_slot_grant(
    state: State, sender: HostId, message: SlotGrant, now: float
) -> None:
    for outgoing in state.slots.accept_grant(sender, message, now):
        state.emit(SendPeerMessage(outgoing.to, outgoing.message))
    state.queue.capacity_changed()


def _handle_slot_return(
    state: State, sender: HostId, message: SlotReturn, now: float
) -> None:
    for task in message.failed:
        state.health.peer_task_failed(
            task.upstream, task.submission, task.job_class, now
        )
    state.slots.accept_return(sender, message)


_HANDLERS = {
    Heartbeat: _handle_heartbeat,
    Pulse: _handle_pulse,
    Forward: _handle_forward,
    CancelForward: _handle_forwarded_cancel,
    ForwardAnswer: _handle_forward_answer,
    Delegate: _handle_delegate,
    DelegateAnswer: _handle_delegate_answer,
    SlotRequest: _handle_slot_request,
    SlotGrant: _handle_slot_grant,
    SlotReturn: _handle_slot_return,
}


def unlendable_upstreams(state: State, now: float) -> set[UpstreamId]:
    """Return the upstreams whose slots must not be lent."""
    return {
        upstream
        for upstream in state.slots.available_slots(now)
        if (state.reservation and state.reservation.upstream == upstream)
        or state.view.is_upstream_leaving(upstream)
        or state.health.concurrency_limit(upstream, now) < UNLIMITED
    }


def grant_urgent_requests(state: State, now: float) -> None:
    """Lend idle slots to hosts whose tasks are more urgent than all local ones."""
    if not state.slots.has_pending_requests:
        return
    urgency = state.queue.most_urgent()
    if urgency is not None:
        _grant_requests(state, now, urgency.latest_start)


def _grant_requests(state: State, now: float, latest_start: float | None) -> None:
    waiting = state.queue.waiting()
    excluded = unlendable_upstreams(state, now)
    for outgoing in state.slots.grant_pending_requests(
        waiting, now, excluded, latest_start
    ):
        state.emit(SendPeerMessage(outgoing.to, outgoing.grant))


def _count_startable(state: State, now: float) -> int:
    """Return the number of waiting tasks that the quotas of their customers allow."""
    return sum(
        min(count, state.quotas.headroom(customer, now))
        for customer, count in state.queue.waiting_by_customer().items()
    )


def request_and_return_slots(state: State, now: float) -> None:
    """Request missing slots from other hosts, and return borrowed ones not needed."""
    waiting = _count_startable(state, now)
    if waiting and now >= state.starts_held_until:
        urgency = state.queue.most_urgent()
        demand = (
            SlotDemand(urgency.latest_start, urgency.tasks)
            if urgency
            else SlotDemand(now)
        )
        for outgoing in state.slots.request_slots(
            waiting, state.spare_slots(now), now, demand
        ):
            state.counters.loans_asked += 1
            state.emit(SendPeerMessage(outgoing.to, outgoing.request))
    if state.slots.has_pending_requests:
        _grant_requests(state, now, None)
    for outgoing in state.slots.release_idle_slots(waiting, now):
        state.emit(
            SendPeerMessage(outgoing.to, _with_failures(state, outgoing.message))
        )
    state.recent_failures.clear()


def _with_failures(state: State, message: SlotReturn) -> SlotReturn:
    """Add the failed tasks; unaware of them, the lender would lend the slots again."""
    failed = (state.recent_failures.get(item.upstream, ()) for item in message.slots)
    return replace(message, failed=tuple(task for tasks in failed for task in tasks))


def send_heartbeats(state: State, now: float) -> None:
    """Send the heartbeats that are due."""
    state.heartbeat_sequence += 1
    for outgoing in state.view.heartbeats_due(_local_heartbeat(state, now), now):
        state.emit(SendPeerMessage(outgoing.to, outgoing.message))


def _local_heartbeat(state: State, now: float) -> Heartbeat:
    waiting = state.queue.waiting_by_customer()
    return Heartbeat(
        state.local_id,
        state.heartbeat_sequence,
        state.cluster_spec is not None,
        state.draining,
        state.cluster_spec.version if state.cluster_spec else NO_VERSION,
        state.slots.lendable_count(now),
        state.queue.waiting(),
        state.queue.backlog_ms(),
        usage=state.quotas.advertise(waiting, now),
        bad_upstreams=state.health.unhealthy_upstreams(now),
    )
