"""Measures memory and CPU time of configurations of several sizes.

Run ``python -m jackdawspur.configuration.slopes``.
"""

import gc
import random
import statistics
import sys
import time
import types
from collections.abc import Callable
from dataclasses import astuple, dataclass, replace

from jackdawspur.configuration._append_rate_limiter import (
    AppendRateLimiter,
    appends_per_day,
)
from jackdawspur.configuration._changes import PutCustomer, PutUpstream
from jackdawspur.configuration._cluster_spec import build_cluster_spec, token_hash
from jackdawspur.configuration._document import (
    Configuration,
    CustomerEntry,
    EntryHostEntry,
    JobClass,
    OperatorEntry,
    Policies,
    Right,
    UpstreamEntry,
    ZoneEntry,
)
from jackdawspur.configuration._records import Confirm, encode_record
from jackdawspur.configuration._replica import ConfigurationReplica
from jackdawspur.configuration._replica_events import LogRecordsRead, LogStartAdvanced
from jackdawspur.configuration._state_machine import ConfigurationStateMachine
from jackdawspur.configuration._tail import build_snapshot
from jackdawspur.external import LogRecord
from jackdawspur.model import HostId

__all__ = ["SizeCost", "configuration_of_size", "main", "measure_size"]

REPEATS = 5
CHANGE_COUNT = 200
NON_STATE_TYPES = (type, types.ModuleType, types.FunctionType, random.Random)
CHANGES_PER_DAY = 4200
SNAPSHOT_VERSION = 0
SNAPSHOT_OFFSET = 1
FULL_SIZE = (140, 3900, 18)
SIZES = ((3, 24, 3), (140, 24, 3), (140, 1000, 18), FULL_SIZE)


def configuration_of_size(customers: int, upstreams: int, zones: int) -> Configuration:
    """Return a generated valid document with six entry hosts per zone."""
    names = [f"zone-{index}" for index in range(zones)]
    return Configuration(
        customers=tuple(_customer(index) for index in range(customers)),
        operators=(
            OperatorEntry(
                name="ann",
                token_sha256=(token_hash("ann"),),
                rights=(Right.PLAN, Right.CONFIRM),
            ),
        ),
        zones=tuple(
            ZoneEntry(name=n, region=f"r-{i // 3}") for i, n in enumerate(names)
        ),
        entry_hosts=tuple(
            EntryHostEntry(
                zone=zone,
                name=f"e{host}",
                http=f"10.{index}.1.{host + 1}:8000",
                link=f"10.{index}.1.{host + 1}:8001",
            )
            for index, zone in enumerate(names)
            for host in range(6)
        ),
        upstreams=tuple(_upstream(i, i % zones) for i in range(upstreams)),
    )


def _customer(index: int) -> CustomerEntry:
    return CustomerEntry(
        name=f"team-{index}",
        token_sha256=(token_hash(f"team-{index}"),),
        quota_slots=200,
        classes=tuple(JobClass(name=f"class-{number}") for number in range(4)),
    )


def _upstream(index: int, zone: int) -> UpstreamEntry:
    return UpstreamEntry(
        zone=f"zone-{zone}",
        name=f"w{index}",
        address=f"10.{zone}.{2 + index // 250}.{index % 250 + 1}:9000",
        accelerators=index % 2,
        rack=f"rack-{index // 20}",
    )


def _confirms(document: Configuration) -> list[LogRecord]:
    base = SNAPSHOT_VERSION
    records = []
    for index in range(CHANGE_COUNT):
        customer = replace(document.customers[index % len(document.customers)])
        upstream = document.upstreams[index % len(document.upstreams)]
        change = PutCustomer(entry=replace(customer, quota_slots=100 + index))
        if index % 2:
            change = PutUpstream(entry=replace(upstream, slots=4 + index % 8))
        confirm = Confirm(
            id=f"confirm-{index}",
            plan=f"{index}",
            base=base,
            operator="ann",
            reason="measured",
            at=0.0,
            changes=(change,),
        )
        base = SNAPSHOT_OFFSET + 1 + index
        records.append(LogRecord(base, encode_record(confirm)))
    return records


def _median_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def _state_mb(root: object) -> float:
    """Return the total size of all objects reachable from a state, in MB."""
    seen: dict[int, object] = {}
    stack = [root]
    while stack:
        current = stack.pop()
        if id(current) in seen or isinstance(current, NON_STATE_TYPES):
            continue
        seen[id(current)] = current
        stack += gc.get_referents(current)
    return sum(map(sys.getsizeof, seen.values())) / 1e6


def _newest_version(records: list[LogRecord]) -> int:
    return records[-1].offset if len(records) > 1 else SNAPSHOT_VERSION


def _replay(records: list[LogRecord]) -> ConfigurationStateMachine:
    state_machine = ConfigurationStateMachine()
    state_machine.skip_to(records[0].offset)
    state_machine.apply_records(records)
    if state_machine.version != _newest_version(records):
        raise RuntimeError("the changes were not applied")
    return state_machine


def _cold_start(records: list[LogRecord]) -> ConfigurationReplica:
    replica = ConfigurationReplica(
        HostId("zone-0", "e0", 1), random.Random(1), AppendRateLimiter(108, 0), 0.0
    )
    replica.handle(0.0, LogStartAdvanced(SNAPSHOT_OFFSET))
    for start in range(0, len(records), 50):
        replica.handle(0.0, LogRecordsRead(tuple(records[start : start + 50])))
    replica.handle(0.0, LogRecordsRead(()))
    if replica.version != _newest_version(records):
        raise RuntimeError("the host did not become ready")
    return replica


def _one_change_ms(records: list[LogRecord]) -> float:
    replica = _cold_start(records[:1])
    times = []
    for record in records[1:]:
        started = time.process_time()
        replica.handle(0.0, LogRecordsRead((record,)))
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def _snapshot_while_ready_ms(records: list[LogRecord], body: str) -> float:
    replica = _cold_start(records)
    after = records[-1].offset + 1
    offsets = iter(range(after, after + REPEATS))
    return _median_ms(
        lambda: replica.handle(0.0, LogRecordsRead((LogRecord(next(offsets), body),)))
    )


@dataclass(frozen=True, slots=True)
class SizeCost:
    """Costs of a configuration of one size: CPU times in ms, sizes in KB and MB.

    `main` describes what each time measures.
    """

    customers: int
    upstreams: int
    zones: int
    snapshot_kb: float
    write_ms: float
    snapshot_ms: float
    mark_ms: float
    fold_ms: float
    world_ms: float
    change_ms: float
    start_ms: float
    fold_mb: float
    keeper_mb: float


def measure_size(customers: int, upstreams: int, zones: int) -> SizeCost:
    """Measure a generated configuration of one size."""
    document = configuration_of_size(customers, upstreams, zones)
    source = ConfigurationStateMachine()
    source.configuration = document
    source.version = source.head = source.through = SNAPSHOT_VERSION
    body = encode_record(build_snapshot(source, 0.0))
    snapshot = LogRecord(SNAPSHOT_OFFSET, body)
    records = [snapshot, *_confirms(document)]
    return SizeCost(
        customers,
        upstreams,
        zones,
        len(body) / 1e3,
        _median_ms(lambda: encode_record(build_snapshot(source, 0.0))),
        _median_ms(lambda: _replay([snapshot])),
        _snapshot_while_ready_ms(records, body),
        _median_ms(lambda: _replay(records)) / CHANGE_COUNT,
        _median_ms(lambda: build_cluster_spec(document, 0)),
        _one_change_ms(records),
        _median_ms(lambda: _cold_start(records)),
        _state_mb(_replay(records)),
        _state_mb(_cold_start(records)),
    )


def _line(cost: SizeCost) -> str:
    customers, upstreams, zones, *figures = astuple(cost)
    size = f"{customers:>9} {upstreams:>9} {zones:>5}"
    return size + "".join(f" {figure:>9.2f}" for figure in figures)


def main() -> None:
    """Print a line for each size; times are CPU time.

    `write`: encode a snapshot. `snap`: apply a snapshot to an empty state machine.
    `mark`: a ready replica reads a snapshot. `fold`: apply one confirm, the mean of
    200 that follow a snapshot, with their share of its cost. `world`: build a cluster
    spec from scratch. `change`: a ready replica applies one change, median. `start`:
    from a cold start with a snapshot and 200 changes until ready.
    """
    policies = Policies()
    day = appends_per_day(
        CHANGES_PER_DAY, policies.snapshot_after_changes, policies.snapshot_interval_s
    )
    lines = [
        "customers upstreams zones   snap KB  write ms   snap ms   mark ms   fold ms"
        "  world ms change ms  start ms   fold MB keeper MB",
        *(_line(measure_size(*size)) for size in SIZES),
        f"appends per day at {CHANGES_PER_DAY} changes: {day}",
    ]
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
