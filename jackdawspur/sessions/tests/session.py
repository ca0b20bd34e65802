"""People who call entry hosts over HTTP, on virtual time, and what they see."""

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

__all__ = ["Journal", "Session", "tasks"]

WALL_START = 1_800_000_000.0
BOOTED_S = 1.0
QUOTA = 64
# One upstream a zone, so that no session depends on which of several is picked.
ONE_HOST_A_ZONE = replace(
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
    """Return tasks as a caller writes them; payloads are read by the fake upstreams."""
    payloads = [f"{run_ms} {job} {index}" for index in range(count)]
    return [{"payload": payload, "run_ms": run_ms} for payload in payloads]


class Journal(logging.Handler):
    """Write log records as the host that is at work does, at virtual times."""

    def __init__(self, session: "Session") -> None:
        super().__init__()
        self._session = session

    def emit(self, record: logging.LogRecord) -> None:
        session = self._session
        record.created = WALL_START + session.now
        record.msecs = record.created * 1000 % 1000 // 1
        formatter = json_formatter(session.at_work)
        formatter.converter = time.gmtime
        session.note(f"{session.at_work} log", formatter.format(record))


class _Face:
    """Stand between one host's real routes and its simulated process."""

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
    """Lose as many replies of upstreams as a session asks for.

    Claims that were read tell that the log is up, empty reads too, as in the driver.
    """

    losing = 0

    def _poll(self) -> None:
        super()._poll()
        for host in self.hosts.values():
            if not self.log.down and self.links.reaches_platform(host.id.zone):
                host.receive(host.id, ClaimsRead(()))

    def should_drop_reply(self, run, upstream) -> bool:
        if self.losing:
            self.losing -= 1
            return True
        return super().should_drop_reply(run, upstream)


class Session:
    """Play a session and write down what its people see, in order."""

    def __init__(self, seed: int = 1) -> None:
        entries = [_entry("roster"), _entry("maps")]
        self.configuration = Configuration(schema_version=1, customers=tuple(entries))
        self.lines: list[str] = []
        self.at_work = ""
        self.waiting = False
        self._cores: dict[str, EntryCore] = {}
        self.simulation = _SessionSimulation(ONE_HOST_A_ZONE, self._make, seed)
        self.simulation.cluster_spec = replace(
            self.simulation.cluster_spec,
            customers=tuple(Customer(c.name, QUOTA) for c in entries),
        )
        self.simulation.clients = self
        self._callers: dict[int, tuple[str, str]] = {}
        self._replies: dict[int, HttpResponse] = {}
        names = [f"{z}.{n}" for z, n in self.simulation.hosts]
        self._faces = {name: _Face(self, name) for name in names}
        self.simulation.run([], BOOTED_S, 0.0)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.simulation.loop.now

    @property
    def upstreams(self):
        """Return the fakes of the upstreams, in order of their zones."""
        return list(self.simulation.upstreams.values())

    def host(self, name: str):
        """Return a simulated entry host."""
        return self.simulation.hosts[tuple(name.split("."))]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.simulation.loop.run(self.now + seconds)

    def note(self, who: str, text: str) -> None:
        """Write a line down."""
        self.lines.append(f"{self.now:8.3f} s  {who}: {text}")

    def ask(
        self, who: str, name: str, request: str, body=None, key=None, customer="roster"
    ) -> int:
        """Let a person call a host; return the number of the call."""
        number = len(self._callers) + 1
        method, target = request.split(" ")
        path, _, query = target.partition("?")
        headers = Headers([("Authorization", f"Bearer token-{customer}")])
        if key is not None:
            headers["Idempotency-Key"] = key
        data = msgspec.json.encode(body) if body is not None else b""
        call = Call(number, method, path, query, headers, data)
        self._callers[number] = (who, name)
        shown = f" Idempotency-Key={key}" if key else ""
        self.note(f"{who} -> {name} #{number}", f"{request}{shown} {data.decode()}")
        self._expect(number, path, body, customer)
        self._later(lambda: self._arrive(name, call))
        return number

    def submit(self, who, name, job_class, work, key=None, customer="roster") -> int:
        """Let a person submit a job and wait for its answer."""
        body = {"job_class": job_class, "tasks": work}
        return self.ask(who, name, "POST /v1/jobs?wait=true", body, key, customer)

    def json(self, number: int) -> dict:
        """Return the body of a reply."""
        return msgspec.json.decode(self._replies[number].body)

    def drain(self, name: str) -> None:
        """Send SIGTERM to a host."""
        host = self.host(name)
        self.note("platform", f"SIGTERM to {name}")
        with self.working(name):
            log_draining(self._cores[name].state.live_jobs)
            self.simulation.drain(host)
        self._watch_drain(name)

    def kill(self, name: str) -> None:
        """Kill a host; it comes back a second later as another run."""
        self.note("platform", f"{name} is killed")
        self.simulation.kill(self.host(name))
        self.simulation.loop.after(1.001, lambda: self._back(name))

    @contextmanager
    def working(self, name: str):
        """Let log lines be those of one host."""
        before, self.at_work = self.at_work, name
        try:
            yield
        finally:
            self.at_work = before

    def answered(self, call: int, answer) -> None:
        """Take the decisions' answer to a call, as the entry host's process does."""
        with self.working(self._callers[call][1]):
            log_answer(answer)
        self.simulation.checker.call_answered(call, answer, self.now)
        self.replied(call, answer_response(answer))

    def ids_issued(self, call: int, ids) -> None:
        """Take ids that were issued."""
        self.simulation.checker.control_call_answered(call, self.now)
        self.replied(call, ids_response(ids))

    def host_died(self, host, draining: bool) -> None:
        """Break the connections of callers who still wait."""
        for number, (who, name) in self._callers.items():
            if self.host(name) is host and number not in self._replies:
                self.note(f"{who} <- {name} #{number}", "connection lost")
                self.simulation.checker.call_disconnected(number, self.now, draining)

    def replied(self, number: int, reply: HttpResponse) -> None:
        """Bring a reply to its caller."""
        self._replies[number] = reply
        who, name = self._callers[number]
        retry = f" Retry-After={reply.retry_after_s}" if reply.retry_after_s else ""
        text = f"{reply.status}{retry} {reply.body.decode()}"
        self._later(lambda: self.note(f"{who} <- {name} #{number}", text))

    def transcript(self) -> str:
        """Return all that was seen; every invariant must have held."""
        self.simulation.checker.finish(self.now)
        assert self.simulation.checker.counts == {}, self.simulation.checker.violations
        return "\n".join(self.lines)

    def _expect(self, number: int, path: str, body, customer: str) -> None:
        """Tell the checker of invariants what the call asks to be run."""
        checker = self.simulation.checker
        if not body or "tasks" not in body:
            checker.control_call_sent(number)
            return
        job = int(body["tasks"][0]["payload"].split()[1])
        once = body["job_class"] in ("dispatch-reassign", "map-order")
        checker.call_sent(number, job, _asked(body, customer, once))

    def _make(self, host: HostId, rng, now: float):
        dispatcher = POLICIES[PRODUCT_POLICY].make(host, rng, now)
        self._cores[f"{host.zone}.{host.name}"] = dispatcher.core
        return dispatcher

    def _later(self, action) -> None:
        self.simulation.loop.after(self.simulation.deployment.client_s, action)

    def _arrive(self, name: str, call: Call) -> None:
        with self.working(name):
            self._faces[name].routes.handle_call(call)

    def _back(self, name: str) -> None:
        with self.working(name):
            log_started(self.host(name).id)

    def _watch_drain(self, name: str) -> None:
        if not self._cores[name].drained:
            self.simulation.loop.after(0.05, lambda: self._watch_drain(name))
            return
        with self.working(name):
            log_drained()


def _entry(name: str) -> CustomerEntry:
    return CustomerEntry(
        name=name,
        token_sha256=(token_hash(f"token-{name}"),),
        quota_slots=QUOTA,
        classes=CLASSES,
    )


def _asked(body: dict, customer: str, once: bool):
    specs = tuple(TaskSpec(task["payload"], task["run_ms"]) for task in body["tasks"])
    return JobRequest(customer, body["job_class"], specs, 1000.0, not once)
