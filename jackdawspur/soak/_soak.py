"""One seed: a deployment under load, its faults, and the checks after them."""

import random
import time
from concurrent.futures import Future
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen

from jackdawspur.soak._checks import Findings, Sent, check
from jackdawspur.soak._deployment import Answer, Deployment, Host, wait_until
from jackdawspur.soak._plan import Fault, FaultKind, plan_faults
from jackdawspur.soak._proxy import Passage

__all__ = ["SoakResult", "run_seed"]

HOSTS = 4
WORKERS = 6
STEP_S = 0.02
# About half of the workers' room: faults, not overload, are to make jobs fail.
JOB_EVERY_S = 0.08
LEAST_RUN_MS = 20.0
MOST_RUN_MS = 700.0
MOST_TASKS = 3
FAILING_SHARE = 0.05
# All callers have an answer by then: their own limit is 5 s.
ANSWERS_S = 20.0
# Long after the last fault a job is served by every host: a restart, a change of the
# leading host and the end of all leases take under 5 s together.
RECOVERED_S = 15.0

PASSAGES = {
    FaultKind.STORE_SILENT_FOR_HOST: Passage.SILENT,
    FaultKind.STORE_RESETS_HOST: Passage.RESET,
    FaultKind.WORKER_SILENT: Passage.SILENT,
    FaultKind.WORKER_RESETS: Passage.RESET,
}
OF_WORKERS = (FaultKind.WORKER_SILENT, FaultKind.WORKER_RESETS)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Tell what one seed did and showed."""

    seed: int
    faults: tuple[Fault, ...]
    findings: Findings


@dataclass(frozen=True, slots=True)
class _Open:
    job: str
    tasks: int
    fails: bool
    host: Host
    kills: int
    answer: Future


@dataclass(frozen=True, slots=True)
class _Undo:
    """Keep what is to end when; `process` is the run of the host that was struck."""

    at_s: float
    fault: Fault
    process: Popen


class _Faults:
    """Carry faults out, and take them back when their time is over."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._undo: list[_Undo] = []
        self.kills: dict[str, int] = {host.name: 0 for host in deployment.hosts}

    def strike(self, fault: Fault, now_s: float) -> None:
        """Begin a fault; one whose target is struck already by the same does nothing.

        A host that is down or stands still takes no signal.
        """
        if any(_same(undo.fault, fault) for undo in self._undo):
            return
        host = self._host(fault)
        if fault.kind in PASSAGES:
            self._set_passage(fault, PASSAGES[fault.kind])
        elif fault.kind is FaultKind.STORE_DOWN:
            self._deployment.set_faults(store_down=True)
        elif fault.kind is FaultKind.STORE_FORGETS:
            self._deployment.set_faults(forget=True)
        elif host.process.poll() is not None or self._frozen(fault.target):
            return
        elif fault.kind is FaultKind.KILL_HOST:
            self.kills[host.name] += 1
            host.process.send_signal(SIGKILL)
            # Until it is gone its port takes connections that nobody will read.
            host.process.wait()
        elif fault.kind is FaultKind.FREEZE_HOST:
            host.process.send_signal(SIGSTOP)
        elif fault.kind is FaultKind.STOP_HOST:
            host.process.send_signal(SIGTERM)
        elif fault.kind is FaultKind.RELOAD_HOST:
            host.process.send_signal(SIGHUP)
        self._undo.append(_Undo(now_s + fault.for_s, fault, host.process))

    def take_back(self, now_s: float) -> None:
        """End what has lasted long enough, and start hosts again that are down."""
        for undo in [one for one in self._undo if one.at_s <= now_s]:
            if self._take_back(undo):
                self._undo.remove(undo)

    def take_back_all(self) -> None:
        """End all faults, and wait for hosts that are still stopping."""
        wait_until(self._none_left, "end of all faults", RECOVERED_S)

    def _none_left(self) -> bool:
        self.take_back(float("inf"))
        return not self._undo

    def _take_back(self, undo: _Undo) -> bool:
        fault = undo.fault
        host = self._host(fault)
        if fault.kind in PASSAGES:
            self._set_passage(fault, Passage.OPEN)
        elif fault.kind is FaultKind.STORE_DOWN:
            self._deployment.set_faults(store_down=False)
        elif fault.kind is FaultKind.FREEZE_HOST:
            undo.process.send_signal(SIGCONT)
        elif fault.kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST):
            if undo.process.poll() is None:
                return False
            if host.process is undo.process:
                host.start()
        return True

    def _frozen(self, target: int) -> bool:
        number = target % HOSTS
        return any(
            undo.fault.kind is FaultKind.FREEZE_HOST
            and undo.fault.target % HOSTS == number
            for undo in self._undo
        )

    def _host(self, fault: Fault) -> Host:
        return self._deployment.hosts[fault.target % HOSTS]

    def _set_passage(self, fault: Fault, passage: Passage) -> None:
        if fault.kind in OF_WORKERS:
            self._deployment.to_workers[fault.target % WORKERS].passage = passage
        else:
            self._host(fault).to_store.passage = passage


def _same(one: Fault, other: Fault) -> bool:
    return (one.kind, one.target) == (other.kind, other.target)


def run_seed(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Run a deployment under the faults of a seed and check all that came of it."""
    plan = plan_faults(seed, seconds, HOSTS * WORKERS)
    deployment = Deployment(folder, HOSTS, WORKERS)
    try:
        faults = _Faults(deployment)
        opened = _load(deployment, faults, plan, seed, seconds)
        faults.take_back_all()
        sent = [_ended(one, faults) for one in opened]
        findings = check(sent, deployment.report())
        _check_recovered(deployment, findings)
        return SoakResult(seed, plan, findings)
    finally:
        deployment.close()


def _load(
    deployment: Deployment,
    faults: _Faults,
    plan: tuple[Fault, ...],
    seed: int,
    seconds: float,
) -> list[_Open]:
    draw = random.Random(seed)
    began = time.monotonic()
    to_come, opened = list(plan), []
    job_at_s = 0.0
    while (now_s := time.monotonic() - began) < seconds:
        faults.take_back(now_s)
        while to_come and to_come[0].at_s <= now_s:
            faults.strike(to_come.pop(0), now_s)
        if now_s >= job_at_s:
            job_at_s = now_s + JOB_EVERY_S
            opened.append(_submit(deployment, faults, draw))
        time.sleep(STEP_S)
    return opened


def _submit(deployment: Deployment, faults: _Faults, draw: random.Random) -> _Open:
    host = draw.choice(deployment.hosts)
    run_ms = draw.uniform(LEAST_RUN_MS, MOST_RUN_MS)
    tasks = draw.randint(1, MOST_TASKS)
    fails = draw.random() < FAILING_SHARE
    job = deployment.next_job()
    kills = faults.kills[host.name]
    answer = deployment.submit(host, run_ms, tasks, job, fails)
    return _Open(job, tasks, fails, host, kills, answer)


def _ended(one: _Open, faults: _Faults) -> Sent:
    answer: Answer = one.answer.result(ANSWERS_S)
    killed = faults.kills[one.host.name] > one.kills
    unread = answer.status == 0 and not one.host.names(one.job)
    return Sent(one.job, one.tasks, one.fails, answer, killed, unread)


def _check_recovered(deployment: Deployment, findings: Findings) -> None:
    for host in deployment.hosts:
        ended = host.process.poll()
        if ended is not None:
            findings.wrong.append(f"{host.name}: ended by itself with {ended}")
            continue
        try:
            wait_until(lambda: _serves(deployment, host), "answers", RECOVERED_S)  # noqa: B023
        except AssertionError:
            findings.wrong.append(f"{host.name}: no job served after the faults")


def _serves(deployment: Deployment, host: Host) -> bool:
    answer = deployment.submit(host).result(ANSWERS_S)
    return answer.status == 200 and answer.body.get("state") == "completed"
