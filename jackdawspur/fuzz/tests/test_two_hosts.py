"""Two hosts under random orders of events start no task twice.

Nor do they report a job as not run if any of its tasks started.
"""

from dataclasses import replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jackdawspur.dispatch import (
    CancelRequested,
    ClaimAppendCompleted,
    DrainRequested,
    ResultsReplied,
    StatusQueryFailed,
    SubmissionIdsRequested,
    Submitted,
)
from jackdawspur.external import UpstreamReply
from jackdawspur.fuzz.tests.mutations import FUZZ, REQUESTED_EXAMPLES
from jackdawspur.fuzz.tests.two_hosts import TwoHosts
from jackdawspur.model import JobRequest, TaskOutcome, TaskSpec, TaskState

NAMES = st.sampled_from(["e1", "e2"])
INDICES = st.integers(0, 10**6)
# Mostly "resume", because hosts would otherwise hardly ever complete a job.
FAULTS = st.sampled_from(["resume"] * 5 + ["pause", "pause", "drain", "kill"])
KEYS = st.sampled_from(["k0", "k1", "k2"])
DEADLINE_MS = 3000.0
SETTLING_S = 8.0
STEPS_PER_EXAMPLE = 60
MIN_EXAMPLES = 60


def make_request(name: str, tasks: int, **identity) -> JobRequest:
    """Return a request whose payloads start with the name of the work."""
    specs = tuple(TaskSpec(f"{name}/{index}", 100.0) for index in range(tasks))
    return JobRequest("roster", "confirm", specs, DEADLINE_MS, False, **identity)


class TwoHostsMachine(RuleBasedStateMachine):
    """State machine of random events; `TwoHosts` checks the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = TwoHosts()
        self.plain_count = 0

    @rule(name=NAMES, tasks=st.integers(1, 24))
    def submit_without_identity(self, name, tasks):
        self.plain_count += 1
        self._submit(name, f"plain{self.plain_count}", tasks)

    @rule(name=NAMES, key=KEYS)
    def submit_with_key(self, name, key):
        self._submit(name, key, 1, key=key)

    @rule(name=NAMES)
    def issue_id(self, name):
        self.cluster.make_call(
            name, lambda call: SubmissionIdsRequested(call, "roster", 1), None
        )

    @precondition(lambda self: self.cluster.issued_ids)
    @rule(name=NAMES, index=INDICES)
    def submit_with_id(self, name, index):
        submission_id = self.cluster.issued_ids[index % len(self.cluster.issued_ids)]
        self._submit(name, str(submission_id), 1, submission=submission_id)

    @precondition(lambda self: self.cluster.issued_ids)
    @rule(name=NAMES, index=INDICES)
    def cancel(self, name, index):
        submission_id = self.cluster.issued_ids[index % len(self.cluster.issued_ids)]
        make_event = lambda call: CancelRequested(call, "roster", submission_id)  # noqa: E731
        self.cluster.make_call(name, make_event, str(submission_id))

    @precondition(lambda self: self.cluster.sent_batches)
    @rule(index=INDICES, reply=st.booleans())
    def upstream_accepts(self, index, reply):
        self.cluster.accept_batch(index % len(self.cluster.sent_batches), reply)

    @precondition(lambda self: self.cluster.sent_batches)
    @rule(index=INDICES)
    def upstream_refuses(self, index):
        self.cluster.refuse_batch(index % len(self.cluster.sent_batches))

    @precondition(lambda self: self.cluster.sent_batches)
    @rule(index=INDICES, maybe_sent=st.booleans())
    def start_request_fails(self, index, maybe_sent):
        host, effect = self.cluster.sent_batches.pop(
            index % len(self.cluster.sent_batches)
        )
        self.cluster.fail_batch(host, effect, maybe_sent)

    @precondition(lambda self: self.cluster.status_queries)
    @rule(index=INDICES)
    def upstream_answers_status_query(self, index):
        self.cluster.answer_status_query(index % len(self.cluster.status_queries))

    @precondition(lambda self: self.cluster.status_queries)
    @rule(index=INDICES)
    def status_query_fails(self, index):
        host, effect = self.cluster.status_queries.pop(
            index % len(self.cluster.status_queries)
        )
        self.cluster.deliver_event(
            host, StatusQueryFailed(effect.upstream, effect.tasks)
        )

    @rule(index=INDICES, failed=st.booleans(), repeated=st.booleans())
    def task_ends(self, index, failed, repeated):
        upstreams = self.cluster.upstreams.values()
        running = [(u, t) for u in upstreams for t in u.tasks]
        if not running:
            return
        upstream, task = running[index % len(running)]
        for _ in range(1 + repeated):
            self._end_task(
                upstream, task, TaskState.FAILED if failed else TaskState.DONE
            )

    @rule(index=INDICES)
    def upstream_restarts(self, index):
        upstreams = list(self.cluster.upstreams.values())
        upstreams[index % len(upstreams)].restart()

    @precondition(lambda self: self.cluster.pending_claims)
    @rule(index=INDICES, outcome_known=st.booleans(), appended=st.booleans())
    def claim_append_ends(self, index, outcome_known, appended):
        host, claim = self.cluster.pending_claims.pop(
            index % len(self.cluster.pending_claims)
        )
        if appended:
            self.cluster.log.append(claim)
        self.cluster.deliver_event(
            host, ClaimAppendCompleted(claim, appended if outcome_known else None)
        )

    @rule(name=NAMES)
    def read_claims(self, name):
        if name not in self.cluster.paused:
            self.cluster.read_claims(name)

    @precondition(lambda self: self.cluster.pending_messages)
    @rule(index=INDICES, keep=st.booleans())
    def link_delivers(self, index, keep):
        self.cluster.deliver_message(index % len(self.cluster.pending_messages), keep)

    @precondition(lambda self: self.cluster.pending_messages)
    @rule(index=INDICES)
    def link_drops(self, index):
        del self.cluster.pending_messages[index % len(self.cluster.pending_messages)]

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.2, 4.0]))
    def time_passes(self, seconds):
        self.cluster.tick(seconds)

    @rule(name=NAMES, fault=FAULTS)
    def host_fault_occurs(self, name, fault):
        host_id = self.cluster.cores[name].host
        match fault:
            case "pause":
                self.cluster.paused.add(name)
            case "drain":
                self.cluster.deliver_event(host_id, DrainRequested(1000.0))
            case "kill":
                self.cluster.start_host(
                    replace(host_id, incarnation=host_id.incarnation + 1)
                )
            case "resume":
                self.cluster.paused.clear()

    @rule(tasks_end=st.booleans())
    def everything_succeeds(self, tasks_end):
        """Complete all pending work of links, the log and upstreams."""
        cluster = self.cluster
        cluster.paused.clear()
        cluster.log += [claim for _, claim in cluster.pending_claims]
        cluster.pending_claims.clear()
        for name in cluster.cores:
            cluster.read_claims(name)
        while cluster.pending_messages:
            cluster.deliver_message(0)
        while cluster.sent_batches:
            cluster.accept_batch(0, reply=True)
        running = [(u, t) for u in cluster.upstreams.values() for t in u.tasks]
        for upstream, task in running if tasks_end else ():
            self._end_task(upstream, task, TaskState.DONE)

    def teardown(self):
        """Let links and upstreams recover; check that every live call is answered."""
        cluster = self.cluster
        cluster.paused.clear()
        for _ in range(round(SETTLING_S / 0.5)):
            cluster.tick(0.5)
            while cluster.pending_messages:
                cluster.deliver_message(0)
        for reply in (True, False):
            while cluster.sent_batches:
                cluster.accept_batch(0, reply=reply)
            cluster.tick(0.5)
        alive = {core.host for core in cluster.cores.values()}
        calls = {n for n, (host, request) in cluster.calls.items() if host in alive}
        waiting = {n for n in calls if cluster.calls[n][1] and n not in cluster.answers}
        waiting -= cluster.unreceived_calls
        assert not waiting, f"calls {waiting} never answered"

    def _end_task(self, upstream, task, state):
        if upstream.tasks[task] is TaskState.RUNNING:
            upstream.tasks[task] = state
        outcome = TaskOutcome(task, upstream.tasks[task], "out", "broken")
        reply = UpstreamReply(upstream.id, upstream.incarnation, outcomes=(outcome,))
        self.cluster.deliver_event(upstream.holders[task], ResultsReplied(reply))

    def _submit(self, name, work, tasks, **identity):
        request = make_request(work, tasks, **identity)
        self.cluster.make_call(name, lambda call: Submitted(call, request), work)


TestTwoHosts = TwoHostsMachine.TestCase
TestTwoHosts.settings = settings(
    FUZZ,
    max_examples=REQUESTED_EXAMPLES or MIN_EXAMPLES,
    stateful_step_count=STEPS_PER_EXAMPLE,
)
