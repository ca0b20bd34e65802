"""Speed measurement of one entry host: ``python -m jackdawspur.load.speed``.

The entry host, the stand-ins and the callers run in separate processes. The last line
of the output is one JSON object; times in milliseconds, memory in megabytes.
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
    IdenticalJobCallers,
    percentile,
)
from jackdawspur.load._speed_processes import JOB_CLASS, TOKEN, Deployment

__all__ = ["SizeFigures", "main"]

CALLER_PROCESSES = 3
SIZES = (1, 10, 60, 360)
CALLERS_BY_TASKS = {1: 40, 10: 12, 60: 4, 360: 1}
RUN_MS = 20.0
RUNNING_TASKS = 5040
RUNNING_TASK_MS = 4000.0
PROFILE_LINES = 25
DIRECT_STARTS = 60

FLAGS = flags.FLAGS
flags.DEFINE_float("seconds", 4.0, "Length of each measurement.", 0.5, 600.0)
flags.DEFINE_list("sizes", [str(size) for size in SIZES], "Numbers of tasks per job.")
flags.DEFINE_string("profile", None, "File for a profile of the entry host.")
flags.DEFINE_string("callers", None, "Plan of a caller process (internal).")


@dataclass(frozen=True, slots=True)
class SizeFigures:
    """Figures measured with jobs of one size."""

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

    def on_finished(report: CallersReport) -> None:
        reports.append(report)
        root.stop()

    IdenticalJobCallers(plan, timer_queue, on_finished).register(root)
    root.run()
    sys.stdout.write(msgspec.json.encode(reports[0]).decode())


def _spawn_callers(plan: CallersPlan) -> subprocess.Popen:
    encoded = msgspec.json.encode(plan).decode()
    module = [sys.executable, "-m", "jackdawspur.load.speed"]
    return subprocess.Popen([*module, f"--callers={encoded}"], stdout=subprocess.PIPE)


def _run_caller_processes(
    plan: CallersPlan, processes: int = CALLER_PROCESSES
) -> list[CallersReport]:
    process_plan = replace(plan, rate=plan.rate / processes)
    running = [
        _spawn_callers(replace(process_plan, seed=index)) for index in range(processes)
    ]
    outputs = [process.communicate()[0] for process in running]
    return [msgspec.json.decode(output, type=CallersReport) for output in outputs]


def _measure(deployment: Deployment, tasks: int, seconds: float) -> SizeFigures:
    callers = CALLERS_BY_TASKS.get(tasks, 4)
    plan = CallersPlan(
        deployment.http, TOKEN, JOB_CLASS, tasks, RUN_MS, callers, 0.0, 1.0, seconds, 0
    )
    cpu_before_s, started_at = deployment.cpu_s(), time.monotonic()
    full_load_reports = _run_caller_processes(plan)
    cpu_s = deployment.cpu_s() - cpu_before_s
    cores = cpu_s / (time.monotonic() - started_at)
    jobs = max(1, sum(report.jobs for report in full_load_reports))
    rate = sum(report.jobs_in_window for report in full_load_reports) / seconds
    half_load_reports = _run_caller_processes(
        replace(plan, rate=max(1.0, rate / 2), callers=64)
    )
    added_ms = [value for report in half_load_reports for value in report.added_ms]
    failures: dict[str, int] = {}
    for report in full_load_reports + half_load_reports:
        for code, count in report.failures.items():
            failures[code] = failures.get(code, 0) + count
    return SizeFigures(
        tasks,
        round(rate, 1),
        round(rate * tasks, 1),
        round(cpu_s * 1000 / jobs, 3),
        round(cpu_s * 1000 / jobs / tasks, 4),
        round(cores, 2),
        round(percentile(added_ms, 0.5), 2),
        round(percentile(added_ms, 0.99), 2),
        round(sum(report.jobs_in_window for report in half_load_reports) / seconds, 1),
        failures,
    )


def _measure_direct_added_ms(deployment: Deployment) -> float:
    """Return the p50 that a start and a poll sent to a stand-in add to a run time."""
    connection = HTTPConnection(*split_address(deployment.upstreams[0]))
    added_ms, cursor = [], 0
    for index in range(DIRECT_STARTS):
        start = {"task": f"z1.x.1.1/{index}", "lease_ms": 5000.0}
        payload = json.dumps({"run_ms": RUN_MS})
        starts = {"holder": "z1.x.1", "starts": [{**start, "payload": payload}]}
        started_at = time.monotonic()
        connection.request("POST", "/v1/starts", json.dumps(starts))
        connection.getresponse().read()
        query = f"holder=z1.x.1&after={cursor}&wait_ms=2000"
        connection.request("GET", f"/v1/results?{query}")
        cursor = json.loads(connection.getresponse().read())["cursor"]
        added_ms.append((time.monotonic() - started_at) * 1000 - RUN_MS)
    return percentile(added_ms, 0.5)


def _measure_memory_mb(deployment: Deployment) -> float:
    """Return the peak memory while thousands of tasks run on upstreams."""
    callers = RUNNING_TASKS // 360
    plan = CallersPlan(
        deployment.http,
        TOKEN,
        JOB_CLASS,
        360,
        RUNNING_TASK_MS,
        callers,
        0.0,
        0.0,
        0.1,
        0,
    )
    process = _spawn_callers(plan)
    peak_mb = 0.0
    while process.poll() is None:
        peak_mb = max(peak_mb, deployment.rss_mb())
        time.sleep(0.05)
    process.communicate()
    return peak_mb


def main(_arguments: list[str]) -> None:
    """Run all measurements and print the figures."""
    if FLAGS.callers:
        _run_callers(FLAGS.callers)
        return
    profile = Path(FLAGS.profile) if FLAGS.profile else None
    with tempfile.TemporaryDirectory(prefix="speed-") as folder:
        deployment = Deployment(Path(folder), profile)
        try:
            deployment.configure()
            report = {"rss_idle_mb": round(deployment.rss_mb(), 1)}
            direct_added_ms = round(_measure_direct_added_ms(deployment), 2)
            report["direct_added_p50_ms"] = direct_added_ms
            memory_mb = round(_measure_memory_mb(deployment), 1)
            report[f"rss_{RUNNING_TASKS}_tasks_mb"] = memory_mb
            for size in FLAGS.sizes:
                figures = asdict(_measure(deployment, int(size), FLAGS.seconds))
                sys.stdout.write(json.dumps(figures) + "\n")
                sys.stdout.flush()
                report[f"tasks_{size}"] = figures
        finally:
            deployment.stop()
    if profile:
        pstats.Stats(str(profile)).sort_stats("tottime").print_stats(PROFILE_LINES)
    sys.stdout.write(json.dumps(report) + "\n")


if __name__ == "__main__":
    app.run(main)
