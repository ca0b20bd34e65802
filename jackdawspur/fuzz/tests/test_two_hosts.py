"""Two hosts in every order of events: no second start, no false "not run"."""

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
from jackdawspur.fuzz.tests.mutations import FUZZ, MORE
from jackdawspur.fuzz.tests.two_hosts import TwoHosts
from jackdawspur.model import JobRequest, TaskOutcome, TaskSpec, TaskState

NAMES = st.sampled_from(["e1", "e2"])
PLACES = st.integers(0, 10**6)
# Most often none, or a host would hardly ever do its work.
FAULTS = st.sampled_from(["resume"] * 5 + ["pause", "pause", "drain", "kill"])
KEYS = st.sampled_from(["k0", "k1", "k2"])
DEADLINE_MS = 3000.0
SETTLED_S = 8.0
STEPS = 60
FEWEST = 60


def request_of(name: str, tasks: int, **identity) -> JobRequest:
    """Return a request whose payloads tell which work it is."""
    specs = tuple(TaskSpec(f"{name}/{index}", 100.0) for index in range(tasks))
    return JobRequest("roster", "confirm", specs, DEADLINE_MS, False, **identity)


class TwoHostsMachine(RuleBasedStateMachine):
    """Choose what happens next; `TwoHosts` judges it."""

    def __init__(self) -> None:
        super().__init__()
        self.world = TwoHosts()
        self.plain = 0

    @rule(name=NAMES, tasks=st.integers(1, 24))
    def submit_plain(self, name, tasks):
        self.plain += 1
        self._submit(name, f"plain{self.plain}", tasks)

    @rule(name=NAMES, key=KEYS)
    def submit_key(self, name, key):
        self._submit(name, key, 1, key=key)

    @rule(name=NAMES)
    def issue(self, name):
        self.world.call(
            name, lambda call: SubmissionIdsRequested(call, "roster", 1), None
        )

    @precondition(lambda self: self.world.ids)
    @rule(name=NAMES, place=PLACES)
    def submit_id(self, name, place):
        one = self.world.ids[place % len(self.world.ids)]
        self._submit(name, str(one), 1, submission=one)

    @precondition(lambda self: self.world.ids)
    @rule(name=NAMES, place=PLACES)
    def cancel(self, name, place):
        one = self.world.ids[place % len(self.world.ids)]
        make = lambda call: CancelRequested(call, "roster", one)  # noqa: E731
        self.world.call(name, make, str(one))

    @precondition(lambda self: self.world.sent)
    @rule(place=PLACES, reply=st.booleans())
    def upstream_takes(self, place, reply):
        self.world.start(place % len(self.world.sent), reply)

    @precondition(lambda self: self.world.sent)
    @rule(place=PLACES)
    def upstream_refuses(self, place):
        self.world.refuse(place % len(self.world.sent))

    @precondition(lambda self: self.world.sent)
    @rule(place=PLACES, left=st.booleans())
    def starts_never_arrive(self, place, left):
        host, effect = self.world.sent.pop(place % len(self.world.sent))
        self.world.lose(host, effect, left)

    @precondition(lambda self: self.world.asked)
    @rule(place=PLACES)
    def upstream_tells(self, place):
        self.world.tell_status(place % len(self.world.asked))

    @precondition(lambda self: self.world.asked)
    @rule(place=PLACES)
    def status_is_lost(self, place):
        host, effect = self.world.asked.pop(place % len(self.world.asked))
        self.world.give(host, StatusQueryFailed(effect.upstream, effect.tasks))

    @rule(place=PLACES, failed=st.booleans(), twice=st.booleans())
    def task_ends(self, place, failed, twice):
        racks = self.world.racks.values()
        running = [(r, t) for r in racks for t in r.tasks]
        if not running:
            return
        rack, task = running[place % len(running)]
        for _ in range(1 + twice):
            self._end(rack, task, TaskState.FAILED if failed else TaskState.DONE)

    @rule(place=PLACES)
    def upstream_restarts(self, place):
        racks = list(self.world.racks.values())
        racks[place % len(racks)].restart()

    @precondition(lambda self: self.world.claims)
    @rule(place=PLACES, known=st.booleans(), up=st.booleans())
    def log_appends(self, place, known, up):
        host, claim = self.world.claims.pop(place % len(self.world.claims))
        if up:
            self.world.log.append(claim)
        self.world.give(host, ClaimAppendCompleted(claim, up if known else None))

    @rule(name=NAMES)
    def read_claims(self, name):
        if name not in self.world.paused:
            self.world.read_claims(name)

    @precondition(lambda self: self.world.links)
    @rule(place=PLACES, keep=st.booleans())
    def link_brings(self, place, keep):
        self.world.deliver(place % len(self.world.links), keep)

    @precondition(lambda self: self.world.links)
    @rule(place=PLACES)
    def link_loses(self, place):
        del self.world.links[place % len(self.world.links)]

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.2, 4.0]))
    def time_passes(self, seconds):
        self.world.tick(seconds)

    @rule(name=NAMES, fault=FAULTS)
    def host_fails(self, name, fault):
        old = self.world.cores[name].host
        match fault:
            case "pause":
                self.world.paused.add(name)
            case "drain":
                self.world.give(old, DrainRequested(1000.0))
            case "kill":
                self.world.boot(replace(old, incarnation=old.incarnation + 1))
            case "resume":
                self.world.paused.clear()

    @rule(tasks_end=st.booleans())
    def all_goes_well(self, tasks_end):
        """Let links, log and upstreams do all that waits for them."""
        world = self.world
        world.paused.clear()
        world.log += [claim for _, claim in world.claims]
        world.claims.clear()
        for name in world.cores:
            world.read_claims(name)
        while world.links:
            world.deliver(0)
        while world.sent:
            world.start(0, reply=True)
        running = [(r, t) for r in world.racks.values() for t in r.tasks]
        for rack, task in running if tasks_end else ():
            self._end(rack, task, TaskState.DONE)

    def teardown(self):
        """Let links and upstreams work again; then every live call has its answer."""
        world = self.world
        world.paused.clear()
        for _ in range(round(SETTLED_S / 0.5)):
            world.tick(0.5)
            while world.links:
                world.deliver(0)
        for late in (True, False):
            while world.sent:
                world.start(0, reply=late)
            world.tick(0.5)
        alive = {core.host for core in world.cores.values()}
        calls = {n for n, (host, request) in world.calls.items() if host in alive}
        waiting = {n for n in calls if world.calls[n][1] and n not in world.answers}
        waiting -= world.unheard
        assert not waiting, f"calls {waiting} never answered"

    def _end(self, rack, task, state):
        if rack.tasks[task] is TaskState.RUNNING:
            rack.tasks[task] = state
        outcome = TaskOutcome(task, rack.tasks[task], "out", "broken")
        reply = UpstreamReply(rack.id, rack.run, outcomes=(outcome,))
        self.world.give(rack.holders[task], ResultsReplied(reply))

    def _submit(self, name, work, tasks, **identity):
        request = request_of(work, tasks, **identity)
        self.world.call(name, lambda call: Submitted(call, request), work)


TestTwoHosts = TwoHostsMachine.TestCase
TestTwoHosts.settings = settings(
    FUZZ, max_examples=MORE or FEWEST, stateful_step_count=STEPS
)
