"""Measures configuration delays and idle cost with real processes.

Run ``python -m jackdawspur.entry.measure``. It takes about two minutes and prints one
line of JSON for each result.
"""

import re
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import msgspec
import psutil

from jackdawspur.configuration import token_hash
from jackdawspur.entry._trial_settings import OTHER_CALLER_TOKEN, Sizes
from jackdawspur.entry.trial import Deployment, EntryProgram, wait_until

__all__ = ["ColdStart", "Idle", "InForce", "main"]

ZONES = ("north", "middle", "south")
SMALL = Sizes(zones=ZONES, upstreams_per_zone=8)
FULL = Sizes(
    zones=ZONES,
    upstreams_per_zone=217,
    absent_zones=15,
    absent_upstreams=3_249,
    extra_customers=138,
)
PARTITIONED = Sizes(zones=ZONES, upstreams_per_zone=8, zones_without_log=("south",))
BURST_CHANGES = 50
SPACED_CHANGES = 15
CHANGE_GAP_S = 1.0
COLD_STARTS = 5
IDLE_S = 10.0
SETTLE_S = 3.0
# A host opens its links to upstreams one by one, and is idle only after this.
START_UP_S = 10.0
KB = 1000.0
MB = 1_000_000.0
IN_FORCE = '"message": "configuration in force"'
VERSION = re.compile(r'"version": (\d+)')
LINE_TIME = re.compile(r'"time": "([^"]+)"')
LINE_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class InForce:
    """Time from a confirm until it is in force in all zones, in milliseconds."""

    what: str
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Time from the start of a host until it is ready, in milliseconds."""

    what: str
    starts: int
    p50_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class Idle:
    """Cost of idle hosts: the mean and the maximum over all hosts."""

    what: str
    hosts: int
    seconds: float
    core_percent: float
    core_percent_max: float
    link_kb_per_s: float
    link_kb_per_s_max: float
    rss_mb: float
    rss_mb_max: float


@dataclass(frozen=True, slots=True)
class _Confirmed:
    version: int
    started_at: float


def main(argv: list[str]) -> int:
    """Run the measurements named in the arguments, or all of them."""
    names = argv[1:] or list(_MEASUREMENTS)
    for name in names:
        if name not in _MEASUREMENTS:
            sys.stderr.write(f"expected one of {', '.join(_MEASUREMENTS)}\n")
            return 2
    for name in names:
        sizes, measure = _MEASUREMENTS[name]
        with tempfile.TemporaryDirectory(prefix="jackdawspur-") as folder:
            _measure(Deployment(Path(folder), sizes), measure, name)
    return 0


def _measure(deployment: Deployment, measure: Callable, name: str) -> None:
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        for result in measure(deployment, name):
            sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
            sys.stdout.flush()
    finally:
        deployment.close()


def _measure_changes(deployment: Deployment, what: str):
    yield _measure_in_force(deployment, f"{what}, burst", BURST_CHANGES, 0.0)
    yield _measure_in_force(
        deployment, f"{what}, one a second", SPACED_CHANGES, CHANGE_GAP_S
    )


def _measure_idle_and_starts(deployment: Deployment, what: str):
    yield _measure_idle(deployment, what)
    yield _measure_cold_starts(deployment, what)


def _measure_in_force(
    deployment: Deployment, what: str, count: int, gap_s: float
) -> InForce:
    confirmed = []
    for number in range(count):
        time.sleep(gap_s)
        # Alternate between the hosts that reach the log: the appends of each host are
        # rate-limited.
        hosts_with_log = [
            h
            for h in deployment.hosts
            if h.settings.log == deployment.settings.log.address
        ]
        confirmed.append(
            _confirm(deployment, hosts_with_log[number % len(hosts_with_log)], number)
        )
    deployment.wait_version(confirmed[-1].version)
    activations = [_activations(host) for host in deployment.hosts]
    durations = sorted(
        1000
        * (
            max(_in_force_at(times, change.version) for times in activations)
            - change.started_at
        )
        for change in confirmed
    )
    return InForce(
        what,
        count,
        round(statistics.median(durations), 1),
        round(durations[min(count - 1, int(0.99 * count))], 1),
        round(durations[-1], 1),
    )


def _confirm(deployment: Deployment, host: EntryProgram, number: int) -> _Confirmed:
    entry = {
        "name": "reporting",
        "token_sha256": [token_hash(OTHER_CALLER_TOKEN)],
        "quota_slots": 50 + number,
    }
    intent = {
        "reason": f"change {number}",
        "changes": [{"op": "put_customer", "entry": entry}],
    }
    # Retry: a host that lags behind the last change plans on an older version.
    while True:
        plan = deployment.plan(host, intent)
        started_at = time.time()
        answer = deployment.confirm(host, plan.json["body"]["id"])
        if answer.status == 200:
            return _Confirmed(answer.json["body"]["version"], started_at)


def _activations(host: EntryProgram) -> list[tuple[int, float]]:
    """Return versions and the times of their activation from the host's log."""
    lines = [line for line in host.log_output.splitlines() if IN_FORCE in line]
    return [
        (
            int(VERSION.search(line)[1]),
            datetime.strptime(LINE_TIME.search(line)[1], LINE_TIME_FORMAT).timestamp(),
        )
        for line in lines
    ]


def _in_force_at(times: list[tuple[int, float]], version: int) -> float:
    return min(at for activated, at in times if activated >= version)


def _measure_cold_starts(deployment: Deployment, what: str) -> ColdStart:
    host = deployment.hosts[-1]
    durations = []
    for _ in range(COLD_STARTS):
        host.kill()
        started_at = time.monotonic()
        host.start()
        wait_until(host.ready, "readiness")
        durations.append(1000 * (time.monotonic() - started_at))
        time.sleep(SETTLE_S)
    return ColdStart(
        what, COLD_STARTS, round(statistics.median(durations)), round(max(durations))
    )


def _measure_idle(deployment: Deployment, what: str) -> Idle:
    time.sleep(START_UP_S)
    processes = [psutil.Process(host.pid) for host in deployment.hosts]
    cpu_before = [_cpu_s(process) for process in processes]
    sent_before = [_link_bytes(host) for host in deployment.hosts]
    started_at = time.monotonic()
    time.sleep(IDLE_S)
    seconds = time.monotonic() - started_at
    cpu_percentages = [
        100 * (_cpu_s(process) - before) / seconds
        for process, before in zip(processes, cpu_before, strict=True)
    ]
    rates = [
        (_link_bytes(host) - before) / seconds / KB
        for host, before in zip(deployment.hosts, sent_before, strict=True)
    ]
    memory = [process.memory_info().rss / MB for process in processes]
    return Idle(
        what,
        len(processes),
        round(seconds, 1),
        *_mean_and_max(cpu_percentages),
        *_mean_and_max(rates),
        *_mean_and_max(memory),
    )


def _mean_and_max(values: list[float]) -> tuple[float, float]:
    return round(statistics.mean(values), 2), round(max(values), 2)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _link_bytes(host: EntryProgram) -> int:
    return host.status()["host"]["link_bytes"]


_MEASUREMENTS = {
    "small": (SMALL, _measure_idle_and_starts),
    "full-size": (FULL, _measure_idle_and_starts),
    "in-force": (SMALL, _measure_changes),
    "cut-zone": (PARTITIONED, _measure_changes),
}

if __name__ == "__main__":
    sys.exit(main(sys.argv))
