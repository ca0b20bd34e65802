"""Simulated sessions: people call entry hosts over HTTP; a transcript records it.

Time is virtual.
"""

import logging
import time
from contextlib import contextmanager
from dataclasses import replace

import msgspec
from circuits.web.headers import Headers

from jackdawspur.adapters import Call
from jackdawspur.bench import DEPLOYMENTS, POLICIES, PRODUCT_POLICY, Simulation
from jackdawspur.callers import HttpResponse, answer_response, ids_response
from jackdawspur.cli._logs import json_formatter
from jackdawspur.configuration import (
    Configuration,
    CustomerEntry,
    JobClass,
    Readiness,
    ReadinessReason,
    token_hash,
)
from jackdawspur.dispatch import ClaimsRead, EntryCore
from jackdawspur.entry._log_lines import (
    log_answer,
    log_drained,
    log_draining,
    log_started,
)
from jackdawspur.entry._routes import Routes
from jackdawspur.model import Answer, Customer, HostId, JobRequest, JobState, TaskSpec

__all__ = ["TranscriptHandler", "Session", "tasks"]

WALL_START = 1_800_000_000.0
START_UP_S = 1.0
QUOTA_SLOTS = 64
# One upstream per zone, so that sessions don't depend on the choice of an upstream.
ONE_HOST_PER_ZONE = replace(
    DEPLOYMENTS["ramdenee"],
    name="session",
    hosts_by_zone=(1, 1),
    upstreams_by_zone=1,
    slots=4,
)
CLASSES = (
    JobClass(name="confirm-arrival", deadline_ms=3000.0),
    JobClass(name="dispatch-reassign", deadline_ms=5000.0, idempotent=False),
    JobClass(name="map-order", deadline_ms=5000.0, idempotent=False),
    JobClass(name="overlay", deadline_ms=30_000.0),
)


def tasks(job: int, count: int = 1, run_ms: float = 100.0) -> list[dict]:
    """Return tasks in the body of a request; the fake upstreams parse the payloads."""
    payloads = [f"{run_ms} {job} {index}" for index in range(count)]
    return [{"payload": payload, "run_ms": run_ms} for payload in payloads]


class TranscriptHandler(logging.Handler):
    """Add log records to the transcript, as the active host writes them."""

    def __init__(self, session: "Session") -> None:
        super().__init__()
        self._session = session

    def emit(self, record: logging.LogRecord) -> None:
        session = self._session
        record.created = WALL_START + session.now
        record.msecs = record.created * 1000 % 1000 // 1
        formatter = json_formatter(session.active_host)
        formatter.converter = time.gmtime
        session.add_line(f"{session.active_host} log", formatter.format(record))


class _HostFrontend:
    """Connect the real routes of one host to its simulated process."""

    def __init__(self, session: "Session", name: str) -> None:
        self.name = name
        self.host = session.host(name)
        self.routes = Routes(self)
        self.routes.set_configuration(session.configuration)
        self._session = session

    def post(self, event) -> None:
        self.host.receive(self.host.id, event)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        checker = self._session.simulation.checker
        refused = b'"not_run":true' in reply.body
        state = JobState.REFUSED if refused else JobState.PENDING
        checker.call_answered(
            call_id, Answer(state, not_run=refused), self._session.now
        )
        self._session.replied(call_id, reply)

    def readiness(self) -> Readiness:
        if self.host.draining_since is not None:
            return Readiness(False, ReadinessReason.DRAINING)
        return Readiness(True, ReadinessReason.READY)


class _SessionSimulation(Simulation):
    """Drop as many replies of upstreams as a session requests.

    As in the product, each poll of the log reports a read, even an empty one: hosts
    infer from it that the log is up.
    """

    replies_to_drop = 0

    def _poll(self) -> None:
        super()._poll()
        for host in self.hosts.values():
            if not self.log.down and self.links.reaches_platform(host.id.zone):
                host.receive(host.id, ClaimsRead(()))

    def should_drop_reply(self, host_id, upstream) -> bool:
        if self.replies_to_drop:
            self.replies_to_drop -= 1
            return True
        return super().should_drop_reply(host_id, upstream)


class Session:
    """Simulate people who call hosts, and record what they see in a transcript."""

    def __init__(self, seed: int = 1) -> None:
        entries = [_entry("roster"), _entry("maps")]
        self.configuration = Configuration(schema_version=1, customers=tuple(entries))
        self.lines: list[str] = []
        self.active_host = ""
        self.waiting = False
        self._cores: dict[str, EntryCore] = {}
        self.simulation = _SessionSimulation(
            ONE_HOST_PER_ZONE, self._make_dispatcher, seed
        )
        self.simulation.cluster_spec = replace(
            self.simulation.cluster_spec,
            customers=tuple(Customer(c.name, QUOTA_SLOTS) for c in entries),
        )
        self.simulation.clients = self
        self._callers: dict[int, tuple[str, str]] = {}
        self._replies: dict[int, HttpResponse] = {}
        names = [f"{z}.{n}" for z, n in self.simulation.hosts]
        self._frontends = {name: _HostFrontend(self, name) for name in names}
        self.simulation.run([], START_UP_S, 0.0)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.simulation.loop.now

    @property
    def upstreams(self):
        """Return the fake upstreams, in order of their zones."""
        return list(self.simulation.upstreams.values())

    def host(self, name: str):
        """Return a simulated entry host."""
        return self.simulation.hosts[tuple(name.split("."))]

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.simulation.loop.run(self.now + seconds)

    def add_line(self, source: str, text: str) -> None:
        """Add a line to the transcript."""
        self.lines.append(f"{self.now:8.3f} s  {source}: {text}")

    def send_request(
        self,
        person: str,
        name: str,
        request: str,
        body=None,
        key=None,
        customer="roster",
    ) -> int:
        """Send a person's request to a host; return the number of the call."""
        number = len(self._callers) + 1
        method, target = request.split(" ")
        path, _, query = target.partition("?")
        headers = Headers([("Authorization", f"Bearer token-{customer}")])
        if key is not None:
            headers["Idempotency-Key"] = key
        data = msgspec.json.encode(body) if body is not None else b""
        call = Call(number, method, path, query, headers, data, 0.0)
        self._callers[number] = (person, name)
        header = f" Idempotency-Key={key}" if key else ""
        self.add_line(
            f"{person} -> {name} #{number}", f"{request}{header} {data.decode()}"
        )
        self._register_call(number, path, body, customer)
        self._after_latency(lambda: self._arrive(name, call))
        return number

    def submit(self, person, name, job_class, work, key=None, customer="roster") -> int:
        """Submit a person's job in a call that waits for its answer."""
        body = {"job_class": job_class, "tasks": work}
        return self.send_request(
            person, name, "POST /v1/jobs?wait=true", body, key, customer
        )

    def json(self, number: int) -> dict:
        """Return the body of a reply."""
        return msgspec.json.decode(self._replies[number].body)

    def drain(self, name: str) -> None:
        """Send SIGTERM to a host."""
        host = self.host(name)
        self.add_line("platform", f"SIGTERM to {name}")
        with self.acting_as(name):
            log_draining(self._cores[name].state.live_jobs)
            self.simulation.drain(host)
        self._watch_drain(name)

    def kill(self, name: str) -> None:
        """Kill a host; it restarts a second later under a new incarnation."""
        self.add_line("platform", f"{name} is killed")
        self.simulation.kill(self.host(name))
        self.simulation.loop.after(1.001, lambda: self._log_restart(name))

    @contextmanager
    def acting_as(self, name: str):
        """Attribute log lines to one host."""
        previous, self.active_host = self.active_host, name
        try:
            yield
        finally:
            self.active_host = previous

    def answered(self, call: int, answer) -> None:
        """Log and deliver the core's answer to a call, as an entry host does."""
        with self.acting_as(self._callers[call][1]):
            log_answer(answer)
        self.simulation.checker.call_answered(call, answer, self.now)
        self.replied(call, answer_response(answer))

    def ids_issued(self, call: int, ids) -> None:
        """Deliver issued ids to their caller."""
        self.simulation.checker.control_call_answered(call, self.now)
        self.replied(call, ids_response(ids))

    def host_died(self, host, draining: bool) -> None:
        """Break the connections of a host's waiting callers."""
        for number, (person, name) in self._callers.items():
            if self.host(name) is host and number not in self._replies:
                self.add_line(f"{person} <- {name} #{number}", "connection lost")
                self.simulation.checker.call_disconnected(number, self.now, draining)

    def replied(self, number: int, reply: HttpResponse) -> None:
        """Deliver a reply to its caller."""
        self._replies[number] = reply
        person, name = self._callers[number]
        retry = f" Retry-After={reply.retry_after_s}" if reply.retry_after_s else ""
        text = f"{reply.status}{retry} {reply.body.decode()}"
        self._after_latency(
            lambda: self.add_line(f"{person} <- {name} #{number}", text)
        )

    def transcript(self) -> str:
        """Return the transcript; fail if any invariant was violated."""
        self.simulation.checker.finish(self.now)
        assert self.simulation.checker.counts == {}, self.simulation.checker.violations
        return "\n".join(self.lines)

    def _register_call(self, number: int, path: str, body, customer: str) -> None:
        """Tell the invariant checker which tasks the call may start."""
        checker = self.simulation.checker
        if not body or "tasks" not in body:
            checker.control_call_sent(number)
            return
        job = int(body["tasks"][0]["payload"].split()[1])
        non_idempotent = body["job_class"] in ("dispatch-reassign", "map-order")
        checker.call_sent(number, job, _job_request(body, customer, non_idempotent))

    def _make_dispatcher(self, host: HostId, rng, now: float):
        dispatcher = POLICIES[PRODUCT_POLICY].make(host, rng, now)
        self._cores[f"{host.zone}.{host.name}"] = dispatcher.core
        return dispatcher

    def _after_latency(self, callback) -> None:
        self.simulation.loop.after(
            self.simulation.deployment.client_latency_s, callback
        )

    def _arrive(self, name: str, call: Call) -> None:
        with self.acting_as(name):
            self._frontends[name].routes.handle_call(call)

    def _log_restart(self, name: str) -> None:
        with self.acting_as(name):
            log_started(self.host(name).id)

    def _watch_drain(self, name: str) -> None:
        if not self._cores[name].drained:
            self.simulation.loop.after(0.05, lambda: self._watch_drain(name))
            return
        with self.acting_as(name):
            log_drained()


def _entry(name: str) -> CustomerEntry:
    return CustomerEntry(
        name=name,
        token_sha256=(token_hash(f"token-{name}"),),
        quota_slots=QUOTA_SLOTS,
        classes=CLASSES,
    )


def _job_request(body: dict, customer: str, non_idempotent: bool):
    specs = tuple(TaskSpec(task["payload"], task["run_ms"]) for task in body["tasks"])
    return JobRequest(customer, body["job_class"], specs, 1000.0, not non_idempotent)
