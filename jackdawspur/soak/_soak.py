"""Run of one seed: a deployment under load, its faults and the final checks."""

import random
import time
from concurrent.futures import Future
from dataclasses import dataclass
from pathlib import Path

from jackdawspur.soak._checks import Findings, SentJob, check
from jackdawspur.soak._deployment import Answer, Deployment, Host, wait_until
from jackdawspur.soak._fault_injector import FaultInjector
from jackdawspur.soak._plan import Fault, Layout, layout_of, plan_faults

__all__ = ["SoakResult", "run_seed"]

HOSTS = 4
WORKERS = 6
STEP_S = 0.02
# Uses about half of the workers' capacity, so that only faults make jobs fail, and
# not overload.
JOB_INTERVAL_S = 0.08
# About one and a half times the capacity, with the run times by priority below: half of
# the jobs are urgent and short, few are long.
OVERLOAD_INTERVAL_S = STEP_S
OVERLOAD_RUN_MS = (150.0, 400.0, 900.0)
OVERLOAD_JOB_WEIGHTS = (5, 3, 2)
# Under overload this fraction of the callers is in the first zone, the rest anywhere.
FIRST_ZONE_FRACTION = 0.5
MIN_RUN_MS = 20.0
MAX_RUN_MS = 700.0
MAX_TASKS = 3
FAILING_FRACTION = 0.05
# All callers have an answer earlier: their own timeout is 5 s.
ANSWER_TIMEOUT_S = 20.0
# Every host must complete a job within this time after the last fault: a restart, a
# change of the leader and the expiry of all leases take less than 5 s together.
RECOVERY_S = 15.0
# If a host has started less than NEW_HOST_S ago, this fraction of the jobs goes to such
# a host, because the group that it derives for itself may still change.
NEW_HOST_FRACTION = 0.5
NEW_HOST_S = 3.0
# Texts of log lines by which decisions are counted.
SHED = '"refused_by_cost"'
REDIRECTED = '"job passed on to another group"'


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Faults and findings of one seed, and logged decisions about overload.

    Hosts bound the rate of their log lines, so that some decisions aren't counted.
    """

    seed: int
    layout: Layout
    faults: tuple[Fault, ...]
    findings: Findings
    shed: int = 0
    redirected: int = 0


@dataclass(frozen=True, slots=True)
class _OpenJob:
    job_id: str
    tasks: int
    fails: bool
    host: Host
    kills: int
    answer: Future


def run_seed(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Run a deployment under the faults of a seed and check the outcomes."""
    plan = plan_faults(seed, seconds, HOSTS * WORKERS)
    layout = layout_of(seed)
    deployment = Deployment(
        folder,
        HOSTS,
        WORKERS,
        layout.zones,
        layout.most_upstreams,
        layout.processors,
        layout.priorities,
    )
    try:
        injector = FaultInjector(deployment)
        open_jobs = _run_load(deployment, injector, plan, seed, layout, seconds)
        injector.revert_all(RECOVERY_S)
        sent = [_await_answer(job, injector) for job in open_jobs]
        findings = check(sent, deployment.report())
        _check_recovered(deployment, findings)
        decisions = _count_decisions(deployment)
        return SoakResult(seed, layout, plan, findings, *decisions)
    finally:
        deployment.close()


def _run_load(
    deployment: Deployment,
    injector: FaultInjector,
    plan: tuple[Fault, ...],
    seed: int,
    layout: Layout,
    seconds: float,
) -> list[_OpenJob]:
    rng = random.Random(seed)
    interval_s = OVERLOAD_INTERVAL_S if layout.is_overloaded else JOB_INTERVAL_S
    submit = _submit_overload if layout.is_overloaded else _submit
    started_at = time.monotonic()
    pending_faults, open_jobs = list(plan), []
    job_at_s = 0.0
    while (now_s := time.monotonic() - started_at) < seconds:
        injector.revert_due(now_s)
        while pending_faults and pending_faults[0].at_s <= now_s:
            injector.inject(pending_faults.pop(0), now_s)
        if now_s >= job_at_s:
            job_at_s = now_s + interval_s
            open_jobs.append(submit(deployment, injector, rng))
        time.sleep(STEP_S)
    return open_jobs


def _submit(
    deployment: Deployment, injector: FaultInjector, rng: random.Random
) -> _OpenJob:
    host = _choose_host(deployment, rng)
    run_ms = rng.uniform(MIN_RUN_MS, MAX_RUN_MS)
    tasks = rng.randint(1, MAX_TASKS)
    fails = rng.random() < FAILING_FRACTION
    job_id = deployment.next_job_id()
    kills = injector.kills[host.name]
    answer = deployment.submit(host, run_ms, tasks, job_id, fails)
    return _OpenJob(job_id, tasks, fails, host, kills, answer)


def _submit_overload(
    deployment: Deployment, injector: FaultInjector, rng: random.Random
) -> _OpenJob:
    """Send a job of a random priority, most often to a host of the first zone."""
    host = _choose_host(deployment, rng)
    if rng.random() < FIRST_ZONE_FRACTION:
        zone = deployment.hosts[0].zone
        host = rng.choice([other for other in deployment.hosts if other.zone == zone])
    (priority,) = rng.choices(range(len(OVERLOAD_RUN_MS)), OVERLOAD_JOB_WEIGHTS)
    run_ms = rng.uniform(MIN_RUN_MS, OVERLOAD_RUN_MS[priority])
    tasks = rng.randint(1, MAX_TASKS)
    fails = rng.random() < FAILING_FRACTION
    job_id, kills = deployment.next_job_id(), injector.kills[host.name]
    answer = deployment.submit(host, run_ms, tasks, job_id, fails, priority)
    return _OpenJob(job_id, tasks, fails, host, kills, answer)


def _choose_host(deployment: Deployment, rng: random.Random) -> Host:
    since = time.monotonic() - NEW_HOST_S
    new_hosts = [host for host in deployment.hosts if host.started_at > since]
    random_host, sample = rng.choice(deployment.hosts), rng.random()
    if not new_hosts or sample >= NEW_HOST_FRACTION:
        return random_host
    return new_hosts[int(sample / NEW_HOST_FRACTION * len(new_hosts))]


def _await_answer(job: _OpenJob, injector: FaultInjector) -> SentJob:
    answer: Answer = job.answer.result(ANSWER_TIMEOUT_S)
    killed = injector.kills[job.host.name] > job.kills
    not_logged = answer.status == 0 and not job.host.log_mentions(job.job_id)
    return SentJob(job.job_id, job.tasks, job.fails, answer, killed, not_logged)


def _count_decisions(deployment: Deployment) -> tuple[int, int]:
    """Return how many logged decisions shed a job, and how many redirected one."""
    return tuple(
        sum(host.count_in_log(text) for host in deployment.hosts)
        for text in (SHED, REDIRECTED)
    )


def _check_recovered(deployment: Deployment, findings: Findings) -> None:
    for host in deployment.hosts:
        exit_status = host.process.poll()
        if exit_status is not None:
            findings.wrong.append(f"{host.name}: unexpected exit status {exit_status}")
            continue
        try:
            wait_until(lambda: _completes_job(deployment, host), "answers", RECOVERY_S)  # noqa: B023
        except AssertionError:
            findings.wrong.append(f"{host.name}: no job completed after the faults")


def _completes_job(deployment: Deployment, host: Host) -> bool:
    answer = deployment.submit(host).result(ANSWER_TIMEOUT_S)
    return answer.status == 200 and answer.body.get("state") == "completed"
