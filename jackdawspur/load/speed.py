"""Measure one entry host as a process: ``python -m jackdawspur.load.speed``.

The entry host, the stand-ins and the callers are processes of their own. The last
line is one JSON object; times in milliseconds, memory in megabytes.
"""

import json
import pstats
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass, replace
from http.client import HTTPConnection
from pathlib import Path

import msgspec
from absl import app, flags
from circuits import Component
from circuits.core.pollers import EPoll

from jackdawspur.adapters import TimerQueue, split_address
from jackdawspur.load._closed_loop import (
    CallersPlan,
    CallersReport,
    EqualCallers,
    percentile,
)
from jackdawspur.load._speed_processes import JOB_CLASS, TOKEN, Deployment

__all__ = ["SizeFigures", "main"]

CALLER_PROCESSES = 3
SIZES = (1, 10, 60, 360)
CALLERS_OF_SIZE = {1: 40, 10: 12, 60: 4, 360: 1}
RUN_MS = 20.0
HELD_TASKS = 5040
HELD_MS = 4000.0
COSTS_SHOWN = 25
DIRECT_STARTS = 60

FLAGS = flags.FLAGS
flags.DEFINE_float("seconds", 4.0, "Length of each measurement.", 0.5, 600.0)
flags.DEFINE_list("sizes", [str(size) for size in SIZES], "Tasks a job.")
flags.DEFINE_string("profile", None, "Write a profile of the entry host here.")
flags.DEFINE_string("callers", None, "Run callers by this plan (used by itself).")


@dataclass(frozen=True, slots=True)
class SizeFigures:
    """Give what was measured with jobs of one size."""

    tasks: int
    jobs_per_s: float
    starts_per_s: float
    cpu_ms_per_job: float
    cpu_ms_per_start: float
    cores: float
    added_p50_ms: float
    added_p99_ms: float
    half_jobs_per_s: float
    failures: dict[str, int]


def _run_callers(encoded: str) -> None:
    """Run callers in this process and print their report."""
    root = Component()
    EPoll().register(root)
    timer_queue = TimerQueue().register(root)
    plan = msgspec.json.decode(encoded, type=CallersPlan)
    reports: list[CallersReport] = []

    def finished(report: CallersReport) -> None:
        reports.append(report)
        root.stop()

    EqualCallers(plan, timer_queue, finished).register(root)
    root.run()
    sys.stdout.write(msgspec.json.encode(reports[0]).decode())


def _spawn(plan: CallersPlan) -> subprocess.Popen:
    encoded = msgspec.json.encode(plan).decode()
    module = [sys.executable, "-m", "jackdawspur.load.speed"]
    return subprocess.Popen([*module, f"--callers={encoded}"], stdout=subprocess.PIPE)


def _call(plan: CallersPlan, processes: int = CALLER_PROCESSES) -> list[CallersReport]:
    share = replace(plan, rate=plan.rate / processes)
    running = [_spawn(replace(share, seed=place)) for place in range(processes)]
    outputs = [process.communicate()[0] for process in running]
    return [msgspec.json.decode(output, type=CallersReport) for output in outputs]


def _measure(deployment: Deployment, tasks: int, seconds: float) -> SizeFigures:
    callers = CALLERS_OF_SIZE.get(tasks, 4)
    plan = CallersPlan(
        deployment.http, TOKEN, JOB_CLASS, tasks, RUN_MS, callers, 0.0, 1.0, seconds, 0
    )
    before, since = deployment.cpu_s(), time.monotonic()
    top = _call(plan)
    cpu_s = deployment.cpu_s() - before
    cores = cpu_s / (time.monotonic() - since)
    jobs = max(1, sum(report.jobs for report in top))
    rate = sum(report.jobs_in_window for report in top) / seconds
    half = _call(replace(plan, rate=max(1.0, rate / 2), callers=64))
    added = [each for report in half for each in report.added_ms]
    failures: dict[str, int] = {}
    for report in top + half:
        for code, count in report.failures.items():
            failures[code] = failures.get(code, 0) + count
    return SizeFigures(
        tasks,
        round(rate, 1),
        round(rate * tasks, 1),
        round(cpu_s * 1000 / jobs, 3),
        round(cpu_s * 1000 / jobs / tasks, 4),
        round(cores, 2),
        round(percentile(added, 0.5), 2),
        round(percentile(added, 0.99), 2),
        round(sum(report.jobs_in_window for report in half) / seconds, 1),
        failures,
    )


def _measure_direct(deployment: Deployment) -> float:
    """Return what one start and one poll at a stand-in add to a task, at p50."""
    connection = HTTPConnection(*split_address(deployment.upstreams[0]))
    added, cursor = [], 0
    for place in range(DIRECT_STARTS):
        start = {"task": f"z1.x.1.1/{place}", "lease_ms": 5000.0}
        payload = json.dumps({"run_ms": RUN_MS})
        starts = {"holder": "z1.x.1", "starts": [{**start, "payload": payload}]}
        since = time.monotonic()
        connection.request("POST", "/v1/starts", json.dumps(starts))
        connection.getresponse().read()
        query = f"holder=z1.x.1&after={cursor}&wait_ms=2000"
        connection.request("GET", f"/v1/results?{query}")
        cursor = json.loads(connection.getresponse().read())["cursor"]
        added.append((time.monotonic() - since) * 1000 - RUN_MS)
    return percentile(added, 0.5)


def _measure_held(deployment: Deployment) -> float:
    """Return the memory while thousands of tasks run upstream."""
    callers = HELD_TASKS // 360
    plan = CallersPlan(
        deployment.http, TOKEN, JOB_CLASS, 360, HELD_MS, callers, 0.0, 0.0, 0.1, 0
    )
    process = _spawn(plan)
    most = 0.0
    while process.poll() is None:
        most = max(most, deployment.rss_mb())
        time.sleep(0.05)
    process.communicate()
    return most


def main(_arguments: list[str]) -> None:
    """Measure and print."""
    if FLAGS.callers:
        _run_callers(FLAGS.callers)
        return
    profile = Path(FLAGS.profile) if FLAGS.profile else None
    with tempfile.TemporaryDirectory(prefix="speed-") as folder:
        deployment = Deployment(Path(folder), profile)
        try:
            deployment.begin()
            report = {"rss_idle_mb": round(deployment.rss_mb(), 1)}
            direct = round(_measure_direct(deployment), 2)
            report["direct_added_p50_ms"] = direct
            held = round(_measure_held(deployment), 1)
            report[f"rss_{HELD_TASKS}_tasks_mb"] = held
            for size in FLAGS.sizes:
                figures = asdict(_measure(deployment, int(size), FLAGS.seconds))
                sys.stdout.write(json.dumps(figures) + "\n")
                sys.stdout.flush()
                report[f"tasks_{size}"] = figures
        finally:
            deployment.end()
    if profile:
        pstats.Stats(str(profile)).sort_stats("tottime").print_stats(COSTS_SHOWN)
    sys.stdout.write(json.dumps(report) + "\n")


if __name__ == "__main__":
    app.run(main)
