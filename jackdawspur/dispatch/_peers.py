"""Messages of other entry hosts: heartbeats, loans, forwards and delegations."""

from dataclasses import replace

from jackdawspur.dispatch._answers import end_job, failure
from jackdawspur.dispatch._delegate import receive_delegate_answer
from jackdawspur.dispatch._door import refuse_at_door
from jackdawspur.dispatch._effects import SendPeerMessage
from jackdawspur.dispatch._events import (
    CancelRequested,
    PeerMessageReceived,
    Polled,
    Submitted,
)
from jackdawspur.dispatch._forward import open_remote_call, receive_forward_answer
from jackdawspur.dispatch._job import Job
from jackdawspur.dispatch._loads import note_loads
from jackdawspur.dispatch._place import enqueue
from jackdawspur.dispatch._state import State
from jackdawspur.dispatch._submit import ask_cancel, cancel_job, expire, poll, submit
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

__all__ = ["lend_urgently", "receive", "send_heartbeats", "trade_slots"]

MS_PER_S = 1000.0
NO_VERSION = -1


def receive(state: State, event: PeerMessageReceived, now: float) -> None:
    """Act on a message of another entry host."""
    handler = _HANDLERS.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


def _heartbeat(state: State, sender: HostId, beat: Heartbeat, now: float) -> None:
    state.view.record_heartbeat(beat, now)
    if sender.zone == state.own.zone:
        state.health.apply_peer_report(sender, beat.bad_upstreams, now)
        if beat.reports_usage:
            state.quotas.update_peer_usage(sender, beat.usage, now)
    note_loads(state, now)


def _pulse(state: State, sender: HostId, pulse: Pulse, now: float) -> None:
    state.view.record_pulse(sender, pulse, now)
    note_loads(state, now)


def _forward(state: State, sender: HostId, message: Forward, now: float) -> None:
    """Treat a forwarded call as one of our own that is answered through its host."""
    call = open_remote_call(state, sender, message.call)
    if call is None:
        return
    if message.request is None or message.submission.owner != state.own:
        question = Polled(call, message.customer, message.submission, message.wait)
        poll(state, question, now)
        return
    request = replace(message.request, submission=message.submission)
    submit(state, Submitted(call, request, message.wait), now)


def _forwarded_cancel(
    state: State, sender: HostId, message: CancelForward, now: float
) -> None:
    job = state.jobs.get(message.submission)
    if job is not None and job.origin == sender:
        cancel_job(state, job, now)
        return
    call = open_remote_call(state, sender, message.call)
    if call is not None:
        ask_cancel(
            state, CancelRequested(call, message.customer, message.submission), now
        )


def _forward_answer(
    state: State, sender: HostId, message: ForwardAnswer, _now: float
) -> None:
    receive_forward_answer(state, sender, message)


def _delegate(state: State, sender: HostId, message: Delegate, now: float) -> None:
    """Run a job for its owner, once however often the owner repeats the message."""
    if message.submission.owner != sender:
        return
    if message.submission in state.dropped_delegations:
        state.emit(SendPeerMessage(sender, _dropped(message.submission)))
        return
    known = state.jobs.get(message.submission)
    if known is not None:
        if known.answer is not None:
            again = DelegateAnswer(known.submission, known.answer)
            state.emit(SendPeerMessage(sender, again))
        return
    deadline = now + message.remaining_ms / MS_PER_S
    job = Job(message.submission, message.request, now, deadline, origin=sender)
    state.jobs[job.submission] = job
    state.schedule(deadline, lambda at: expire(state, job, at))
    refused = refuse_at_door(state, message.request, now)
    if refused is not None:
        end_job(state, job, refused, now)
        return
    enqueue(state, job, now)


def _dropped(submission: SubmissionId) -> DelegateAnswer:
    text = "the job ended at another host, which no longer keeps its answer"
    code = FailureCode.OUTCOME_UNKNOWN
    return DelegateAnswer(submission, failure(code, text, submission))


def _delegate_answer(
    state: State, sender: HostId, message: DelegateAnswer, now: float
) -> None:
    returned = receive_delegate_answer(state, sender, message, now)
    if returned is not None:
        enqueue(state, returned, now)


def _slot_request(
    state: State, sender: HostId, message: SlotRequest, now: float
) -> None:
    waiting = state.queue.waiting()
    grant = state.slots.lend(sender, message, waiting, now, not_lent(state, now))
    if grant is not None:
        state.emit(SendPeerMessage(sender, grant))


def _slot_grant(state: State, sender: HostId, message: SlotGrant, now: float) -> None:
    for back in state.slots.accept_grant(sender, message, now):
        state.emit(SendPeerMessage(back.to, back.message))
    state.queue.capacity_changed()


def _slot_return(state: State, sender: HostId, message: SlotReturn, now: float) -> None:
    for one in message.failed:
        state.health.peer_task_failed(one.upstream, one.submission, one.job_class, now)
    state.slots.accept_return(sender, message)


_HANDLERS = {
    Heartbeat: _heartbeat,
    Pulse: _pulse,
    Forward: _forward,
    CancelForward: _forwarded_cancel,
    ForwardAnswer: _forward_answer,
    Delegate: _delegate,
    DelegateAnswer: _delegate_answer,
    SlotRequest: _slot_request,
    SlotGrant: _slot_grant,
    SlotReturn: _slot_return,
}


def not_lent(state: State, now: float) -> set[UpstreamId]:
    """Return the upstreams whose slots are of no use to others."""
    return {
        upstream
        for upstream in state.slots.available_slots(now)
        if (state.reserved and state.reserved.upstream == upstream)
        or state.view.is_upstream_leaving(upstream)
        or state.health.concurrency_limit(upstream, now) < UNLIMITED
    }


def lend_urgently(state: State, now: float) -> None:
    """Lend idle slots to hosts whose tasks are more urgent than any here."""
    if not state.slots.has_pending_requests:
        return
    urgency = state.queue.most_urgent()
    if urgency is not None:
        _lend(state, now, urgency.latest_start)


def _lend(state: State, now: float, latest_start: float | None) -> None:
    waiting = state.queue.waiting()
    excluded = not_lent(state, now)
    for lend in state.slots.grant_pending_requests(
        waiting, now, excluded, latest_start
    ):
        state.emit(SendPeerMessage(lend.to, lend.grant))


def _startable(state: State, now: float) -> int:
    """Return the number of waiting tasks that their customers' quotas let start."""
    return sum(
        min(count, state.quotas.headroom(customer, now))
        for customer, count in state.queue.waiting_by_customer().items()
    )


def trade_slots(state: State, now: float) -> None:
    """Ask others for slots that waiting tasks lack, and return unused ones."""
    waiting = _startable(state, now)
    if waiting and now >= state.hold_until:
        urgency = state.queue.most_urgent()
        need = (
            SlotDemand(urgency.latest_start, urgency.tasks)
            if urgency
            else SlotDemand(now)
        )
        for ask in state.slots.request_slots(waiting, state.spare(now), now, need):
            state.counters.loans_asked += 1
            state.emit(SendPeerMessage(ask.to, ask.request))
    if state.slots.has_pending_requests:
        _lend(state, now, None)
    for back in state.slots.release_idle_slots(waiting, now):
        state.emit(SendPeerMessage(back.to, _with_failures(state, back.message)))
    state.failed.clear()


def _with_failures(state: State, message: SlotReturn) -> SlotReturn:
    """Tell the lender what failed on its slots, or it would lend them on."""
    failed = (state.failed.get(item.upstream, ()) for item in message.slots)
    return replace(message, failed=tuple(one for tasks in failed for one in tasks))


def send_heartbeats(state: State, now: float) -> None:
    """Tell the peers whose turn it is that this host lives and how busy it is."""
    state.heartbeats += 1
    for addressed in state.view.heartbeats_due(_own_heartbeat(state, now), now):
        state.emit(SendPeerMessage(addressed.to, addressed.message))


def _own_heartbeat(state: State, now: float) -> Heartbeat:
    waiting = state.queue.waiting_by_customer()
    return Heartbeat(
        state.own,
        state.heartbeats,
        state.cluster_spec is not None,
        state.draining,
        state.cluster_spec.version if state.cluster_spec else NO_VERSION,
        state.slots.lendable_count(now),
        state.queue.waiting(),
        state.queue.backlog_ms(),
        usage=state.quotas.advertise(waiting, now),
        bad_upstreams=state.health.unhealthy_upstreams(now),
    )
