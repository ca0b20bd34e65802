"""Measure memory and time of the folded configuration: ``python -m`` this module."""

import gc
import random
import statistics
import sys
import time
import types
from collections.abc import Callable
from dataclasses import astuple, dataclass, replace

from jackdawspur.configuration._budget import AppendRateLimiter, appends_a_day
from jackdawspur.configuration._changes import PutCustomer, PutUpstream
from jackdawspur.configuration._cluster_spec import token_hash, world_of
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
CHANGES = 200
NOT_STATE = (type, types.ModuleType, types.FunctionType, random.Random)
CHANGES_A_DAY = 4200
SNAPSHOT_VERSION = 0
SNAPSHOT_OFFSET = 1
FULL_SIZE = (140, 3900, 18)
SIZES = ((3, 24, 3), (140, 24, 3), (140, 1000, 18), FULL_SIZE)


def configuration_of_size(customers: int, upstreams: int, zones: int) -> Configuration:
    """Return a made-up valid document with six entry hosts a zone."""
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
    for index in range(CHANGES):
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
    """Add up all objects that a state refers to, shared ones once."""
    seen: dict[int, object] = {}
    waiting = [root]
    while waiting:
        found = waiting.pop()
        if id(found) in seen or isinstance(found, NOT_STATE):
            continue
        seen[id(found)] = found
        waiting += gc.get_referents(found)
    return sum(map(sys.getsizeof, seen.values())) / 1e6


def _newest(records: list[LogRecord]) -> int:
    return records[-1].offset if len(records) > 1 else SNAPSHOT_VERSION


def _folded(records: list[LogRecord]) -> ConfigurationStateMachine:
    fold = ConfigurationStateMachine()
    fold.skip_to(records[0].offset)
    fold.apply_records(records)
    if fold.version != _newest(records):
        raise RuntimeError("the changes were not taken")
    return fold


def _cold_start(records: list[LogRecord]) -> ConfigurationReplica:
    keeper = ConfigurationReplica(
        HostId("zone-0", "e0", 1), random.Random(1), AppendRateLimiter(108, 0), 0.0
    )
    keeper.handle(0.0, LogStartAdvanced(SNAPSHOT_OFFSET))
    for start in range(0, len(records), 50):
        keeper.handle(0.0, LogRecordsRead(tuple(records[start : start + 50])))
    keeper.handle(0.0, LogRecordsRead(()))
    if keeper.version != _newest(records):
        raise RuntimeError("the host did not become ready")
    return keeper


def _one_change_ms(whole: list[LogRecord]) -> float:
    keeper = _cold_start(whole[:1])
    times = []
    for record in whole[1:]:
        started = time.process_time()
        keeper.handle(0.0, LogRecordsRead((record,)))
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def _mark_ms(whole: list[LogRecord], body: str) -> float:
    keeper = _cold_start(whole)
    after = whole[-1].offset + 1
    offsets = iter(range(after, after + REPEATS))
    return _median_ms(
        lambda: keeper.handle(0.0, LogRecordsRead((LogRecord(next(offsets), body),)))
    )


@dataclass(frozen=True, slots=True)
class SizeCost:
    """Report one size; processor times in milliseconds, sizes in KB and MB.

    What each is measured on is said at `main`.
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
    """Measure a made-up configuration of one size."""
    document = configuration_of_size(customers, upstreams, zones)
    source = ConfigurationStateMachine()
    source.configuration = document
    source.version = source.head = source.through = SNAPSHOT_VERSION
    body = encode_record(build_snapshot(source, 0.0))
    snapshot = LogRecord(SNAPSHOT_OFFSET, body)
    whole = [snapshot, *_confirms(document)]
    return SizeCost(
        customers,
        upstreams,
        zones,
        len(body) / 1e3,
        _median_ms(lambda: encode_record(build_snapshot(source, 0.0))),
        _median_ms(lambda: _folded([snapshot])),
        _mark_ms(whole, body),
        _median_ms(lambda: _folded(whole)) / CHANGES,
        _median_ms(lambda: world_of(document, 0)),
        _one_change_ms(whole),
        _median_ms(lambda: _cold_start(whole)),
        _state_mb(_folded(whole)),
        _state_mb(_cold_start(whole)),
    )


def _line(cost: SizeCost) -> str:
    customers, upstreams, zones, *figures = astuple(cost)
    size = f"{customers:>9} {upstreams:>9} {zones:>5}"
    return size + "".join(f" {figure:>9.2f}" for figure in figures)


def main() -> None:
    """Print one line a size; times are CPU time.

    `write`: encode a snapshot. `snap`: fold one from nothing. `mark`: meet one while
    ready. `fold`: fold one confirm, the mean of 200 after a snapshot and with their
    share of it. `world`: build a world from nothing. `change`: a ready keeper takes
    one change, median. `start`: a snapshot and 200 changes to ready.
    """
    policies = Policies()
    day = appends_a_day(
        CHANGES_A_DAY, policies.snapshot_after_changes, policies.snapshot_interval_s
    )
    lines = [
        "customers upstreams zones   snap KB  write ms   snap ms   mark ms   fold ms"
        "  world ms change ms  start ms   fold MB keeper MB",
        *(_line(measure_size(*size)) for size in SIZES),
        f"appends a day at {CHANGES_A_DAY} changes: {day}",
    ]
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
