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


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Faults and findings of one seed."""

    seed: int
    layout: Layout
    faults: tuple[Fault, ...]
    findings: Findings


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
    )
    try:
        injector = FaultInjector(deployment)
        open_jobs = _run_load(deployment, injector, plan, seed, seconds)
        injector.revert_all(RECOVERY_S)
        sent = [_await_answer(job, injector) for job in open_jobs]
        findings = check(sent, deployment.report())
        _check_recovered(deployment, findings)
        return SoakResult(seed, layout, plan, findings)
    finally:
        deployment.close()


def _run_load(
    deployment: Deployment,
    injector: FaultInjector,
    plan: tuple[Fault, ...],
    seed: int,
    seconds: float,
) -> list[_OpenJob]:
    rng = random.Random(seed)
    started_at = time.monotonic()
    pending_faults, open_jobs = list(plan), []
    job_at_s = 0.0
    while (now_s := time.monotonic() - started_at) < seconds:
        injector.revert_due(now_s)
        while pending_faults and pending_faults[0].at_s <= now_s:
            injector.inject(pending_faults.pop(0), now_s)
        if now_s >= job_at_s:
            job_at_s = now_s + JOB_INTERVAL_S
            open_jobs.append(_submit(deployment, injector, rng))
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
