"""Measure configuration and idle cost on real processes; prints one JSON line each.

Run ``python -m jackdawspur.entry.measure``; it takes about two minutes.
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
from jackdawspur.entry._trial_settings import OTHER_CALLER, Sizes
from jackdawspur.entry.trial import Deployment, EntryProgram, wait_until

__all__ = ["ColdStart", "Idle", "InForce", "main"]

ZONES = ("north", "middle", "south")
SMALL = Sizes(zones=ZONES, upstreams_a_zone=8)
FULL = Sizes(
    zones=ZONES,
    upstreams_a_zone=217,
    absent_zones=15,
    absent_upstreams=3_249,
    more_customers=138,
)
CUT = Sizes(zones=ZONES, upstreams_a_zone=8, cut_from_log=("south",))
BURST = 50
SLOW = 15
SLOW_GAP_S = 1.0
STARTS = 5
IDLE_S = 10.0
SETTLE_S = 3.0
# Links to upstreams open one after the other after the start.
IDLE_AFTER_S = 10.0
KB = 1000.0
MB = 1_000_000.0
IN_FORCE = '"message": "configuration in force"'
VERSION = re.compile(r'"version": (\d+)')
LINE_TIME = re.compile(r'"time": "([^"]+)"')
LINE_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class InForce:
    """Tell how long confirms took to be in force in all zones, in milliseconds."""

    what: str
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Tell how long a host takes from its start to ready, in milliseconds."""

    what: str
    starts: int
    p50_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class Idle:
    """Tell what idle hosts cost: the mean and the worst of them."""

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
    since: float


def main(argv: list[str]) -> int:
    """Run the measurements named, or all of them."""
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


def _changes(deployment: Deployment, what: str):
    yield _in_force(deployment, f"{what}, burst", BURST, 0.0)
    yield _in_force(deployment, f"{what}, one a second", SLOW, SLOW_GAP_S)


def _idle_and_starts(deployment: Deployment, what: str):
    yield _idle(deployment, what)
    yield _cold_starts(deployment, what)


def _in_force(deployment: Deployment, what: str, count: int, gap_s: float) -> InForce:
    confirmed = []
    for number in range(count):
        time.sleep(gap_s)
        # Through all hosts whose log is up, in turn: each has a share of the appends.
        up = [
            h
            for h in deployment.hosts
            if h.settings.log == deployment.settings.log.address
        ]
        confirmed.append(_confirm(deployment, up[number % len(up)], number))
    deployment.wait_version(confirmed[-1].version)
    seen = [_activations(host) for host in deployment.hosts]
    took = sorted(
        1000 * (max(_reached(times, one.version) for times in seen) - one.since)
        for one in confirmed
    )
    return InForce(
        what,
        count,
        round(statistics.median(took), 1),
        round(took[min(count - 1, int(0.99 * count))], 1),
        round(took[-1], 1),
    )


def _confirm(deployment: Deployment, host: EntryProgram, number: int) -> _Confirmed:
    entry = {
        "name": "reporting",
        "token_sha256": [token_hash(OTHER_CALLER)],
        "quota_slots": 50 + number,
    }
    intent = {
        "reason": f"change {number}",
        "changes": [{"op": "put_customer", "entry": entry}],
    }
    # A host that lags behind the last change plans on an older version.
    while True:
        plan = deployment.plan(host, intent)
        since = time.time()
        answer = deployment.confirm(host, plan.json["body"]["id"])
        if answer.status == 200:
            return _Confirmed(answer.json["body"]["version"], since)


def _activations(host: EntryProgram) -> list[tuple[int, float]]:
    """Return versions and times from the host's own log lines."""
    lines = [line for line in host.lines.splitlines() if IN_FORCE in line]
    return [
        (
            int(VERSION.search(line)[1]),
            datetime.strptime(LINE_TIME.search(line)[1], LINE_TIME_FORMAT).timestamp(),
        )
        for line in lines
    ]


def _reached(times: list[tuple[int, float]], version: int) -> float:
    return min(at for known, at in times if known >= version)


def _cold_starts(deployment: Deployment, what: str) -> ColdStart:
    host = deployment.hosts[-1]
    took = []
    for _ in range(STARTS):
        host.kill()
        since = time.monotonic()
        host.start()
        wait_until(host.ready, "readiness")
        took.append(1000 * (time.monotonic() - since))
        time.sleep(SETTLE_S)
    return ColdStart(what, STARTS, round(statistics.median(took)), round(max(took)))


def _idle(deployment: Deployment, what: str) -> Idle:
    time.sleep(IDLE_AFTER_S)
    processes = [psutil.Process(host.pid) for host in deployment.hosts]
    cpu = [_cpu_s(process) for process in processes]
    sent = [_link_bytes(host) for host in deployment.hosts]
    since = time.monotonic()
    time.sleep(IDLE_S)
    seconds = time.monotonic() - since
    cores = [
        100 * (_cpu_s(process) - before) / seconds
        for process, before in zip(processes, cpu, strict=True)
    ]
    rates = [
        (_link_bytes(host) - before) / seconds / KB
        for host, before in zip(deployment.hosts, sent, strict=True)
    ]
    memory = [process.memory_info().rss / MB for process in processes]
    return Idle(
        what,
        len(processes),
        round(seconds, 1),
        *_mean_and_max(cores),
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
    "small": (SMALL, _idle_and_starts),
    "full-size": (FULL, _idle_and_starts),
    "in-force": (SMALL, _changes),
    "cut-zone": (CUT, _changes),
}

if __name__ == "__main__":
    sys.exit(main(sys.argv))
