"""One seed: a deployment under load, its faults, and the checks after them."""

import random
import time
from concurrent.futures import Future
from dataclasses import dataclass
from pathlib import Path

from jackdawspur.soak._checks import Findings, Sent, check
from jackdawspur.soak._deployment import Answer, Deployment, Host, wait_until
from jackdawspur.soak._fault_injector import FaultInjector
from jackdawspur.soak._plan import Fault, Layout, layout_of, plan_faults

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
# So many of the jobs go to a host that started so lately, if there is one: what it
# takes for its group may still change.
FRESH_SHARE = 0.5
FRESH_S = 3.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Tell what one seed did and showed."""

    seed: int
    layout: Layout
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


def run_seed(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Run a deployment under the faults of a seed and check all that came of it."""
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
        faults = FaultInjector(deployment)
        opened = _load(deployment, faults, plan, seed, seconds)
        faults.revert_all(RECOVERED_S)
        sent = [_ended(one, faults) for one in opened]
        findings = check(sent, deployment.report())
        _check_recovered(deployment, findings)
        return SoakResult(seed, layout, plan, findings)
    finally:
        deployment.close()


def _load(
    deployment: Deployment,
    faults: FaultInjector,
    plan: tuple[Fault, ...],
    seed: int,
    seconds: float,
) -> list[_Open]:
    draw = random.Random(seed)
    began = time.monotonic()
    to_come, opened = list(plan), []
    job_at_s = 0.0
    while (now_s := time.monotonic() - began) < seconds:
        faults.revert_due(now_s)
        while to_come and to_come[0].at_s <= now_s:
            faults.inject(to_come.pop(0), now_s)
        if now_s >= job_at_s:
            job_at_s = now_s + JOB_EVERY_S
            opened.append(_submit(deployment, faults, draw))
        time.sleep(STEP_S)
    return opened


def _submit(
    deployment: Deployment, faults: FaultInjector, draw: random.Random
) -> _Open:
    host = _choose_host(deployment, draw)
    run_ms = draw.uniform(LEAST_RUN_MS, MOST_RUN_MS)
    tasks = draw.randint(1, MOST_TASKS)
    fails = draw.random() < FAILING_SHARE
    job = deployment.next_job_id()
    kills = faults.kills[host.name]
    answer = deployment.submit(host, run_ms, tasks, job, fails)
    return _Open(job, tasks, fails, host, kills, answer)


def _choose_host(deployment: Deployment, draw: random.Random) -> Host:
    since = time.monotonic() - FRESH_S
    fresh = [host for host in deployment.hosts if host.started_at > since]
    any_host, drawn = draw.choice(deployment.hosts), draw.random()
    if not fresh or drawn >= FRESH_SHARE:
        return any_host
    return fresh[int(drawn / FRESH_SHARE * len(fresh))]


def _ended(one: _Open, faults: FaultInjector) -> Sent:
    answer: Answer = one.answer.result(ANSWERS_S)
    killed = faults.kills[one.host.name] > one.kills
    unread = answer.status == 0 and not one.host.log_mentions(one.job)
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
