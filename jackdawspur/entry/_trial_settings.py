"""Settings and configuration of a deployment on free ports of this machine."""

import os
import socket
from dataclasses import dataclass
from itertools import count

from jackdawspur.configuration import (
    Configuration,
    CustomerEntry,
    EntryHostEntry,
    JobClass,
    OperatorEntry,
    Right,
    UpstreamEntry,
    ZoneEntry,
    token_hash,
)
from jackdawspur.settings import (
    EntrySettings,
    HostListStandinSettings,
    ListedHostSettings,
    LogStandinSettings,
    OperatorSettings,
    PeerSettings,
    WorkerPoolStandinSettings,
)

__all__ = [
    "CALLER_TOKEN",
    "OPERATORS",
    "OTHER_CALLER_TOKEN",
    "VIEWER",
    "Sizes",
    "TrialSettings",
    "make_settings",
]

CALLER_TOKEN = "trial-roster-token"
OTHER_CALLER_TOKEN = "trial-reporting-token"
OPERATORS = tuple(f"op{number}" for number in range(8))
VIEWER = "viewer"
MAX_WORKERS_PER_POOL = 64
DRAIN_MS = 20_000.0


@dataclass(frozen=True, slots=True)
class Sizes:
    """Size of a deployment; delay of the log and lag of the host list in ms.

    `memory_mb` and `max_descriptors` are what each entry host may use.
    """

    zones: tuple[str, ...] = ("north", "south")
    hosts_per_zone: int = 2
    upstreams_per_zone: int = 4
    append_delay_ms: float = 5.0
    lag_ms: float = 1000.0
    # Configured in addition to the running ones; nothing listens at their addresses.
    absent_zones: int = 0
    absent_upstreams: int = 0
    extra_customers: int = 0
    zones_without_log: tuple[str, ...] = ()
    memory_mb: float | None = None
    max_descriptors: int | None = None


@dataclass(frozen=True, slots=True)
class TrialSettings:
    """Settings of the processes of a deployment, and its configuration."""

    log: LogStandinSettings
    host_list: HostListStandinSettings
    worker_pools: tuple[WorkerPoolStandinSettings, ...]
    hosts: tuple[EntrySettings, ...]
    configuration: Configuration


class _Addresses:
    """Reserves free ports at a loopback address that only this process uses.

    A free port may become the source port of another connection before the program
    binds it. Connections have the source address 127.0.0.1, so none of them can take a
    port at another loopback address.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self._ip = f"127.{1 + pid // 250 % 250}.{pid % 250}.7"
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Return a free address and keep it bound until `release`."""
        sock = socket.socket()
        sock.bind((self._ip, 0))
        self._sockets.append(sock)
        return f"{self._ip}:{sock.getsockname()[1]}"

    def release(self) -> None:
        """Release the ports for the programs that will bind them."""
        for sock in self._sockets:
            sock.close()


def make_settings(sizes: Sizes) -> TrialSettings:
    """Return the settings and the first configuration of a deployment."""
    addresses = _Addresses()
    closed_address = addresses.reserve()
    log = LogStandinSettings(addresses.reserve(), sizes.append_delay_ms)
    hosts = tuple(
        EntryHostEntry(
            zone=zone,
            name=f"e{n + 1}",
            http=addresses.reserve(),
            link=addresses.reserve(),
        )
        for zone in sizes.zones
        for n in range(sizes.hosts_per_zone)
    )
    upstreams = tuple(
        UpstreamEntry(zone=zone, name=f"w{n + 1}", address=addresses.reserve())
        for zone in sizes.zones
        for n in range(sizes.upstreams_per_zone)
    )
    host_list = _host_list(addresses.reserve(), sizes, hosts, upstreams)
    addresses.release()
    worker_pools = _worker_pools(sizes, upstreams)
    entries = tuple(
        _entry_settings(
            host,
            hosts,
            closed_address if host.zone in sizes.zones_without_log else log.address,
            host_list.address,
            sizes,
        )
        for host in hosts
    )
    configuration = _configuration(
        sizes, hosts, (*upstreams, *_absent_upstreams(sizes))
    )
    return TrialSettings(log, host_list, worker_pools, entries, configuration)


def _worker_pools(sizes: Sizes, upstreams) -> tuple[WorkerPoolStandinSettings, ...]:
    """Return worker pools, each for up to `MAX_WORKERS_PER_POOL` of one zone."""
    worker_pools = []
    for zone in sizes.zones:
        addresses = [u.address for u in upstreams if u.zone == zone]
        worker_pools += [
            WorkerPoolStandinSettings(
                tuple(addresses[start : start + MAX_WORKERS_PER_POOL]),
                seed=MAX_WORKERS_PER_POOL * len(worker_pools),
            )
            for start in range(0, len(addresses), MAX_WORKERS_PER_POOL)
        ]
    return tuple(worker_pools)


def _host_list(address: str, sizes: Sizes, hosts, upstreams) -> HostListStandinSettings:
    listed = [ListedHostSettings(h.zone, h.name, "entry") for h in hosts]
    listed += [
        ListedHostSettings(u.zone, u.name, "upstream")
        for u in (*upstreams, *_absent_upstreams(sizes))
    ]
    return HostListStandinSettings(address, sizes.lag_ms, tuple(listed))


def _all_zones(sizes: Sizes) -> tuple[str, ...]:
    return (*sizes.zones, *(f"zone{n}" for n in range(sizes.absent_zones)))


def _absent_upstreams(sizes: Sizes) -> tuple[UpstreamEntry, ...]:
    """Return upstreams that don't run, spread over the absent zones."""
    ports = count(1)
    zones = _all_zones(sizes)[len(sizes.zones) :]
    return tuple(
        UpstreamEntry(
            zone=zones[n % len(zones)],
            name=f"absent{n}",
            address=f"127.255.{n // 250}.{1 + n % 250}:{next(ports)}",
        )
        for n in range(sizes.absent_upstreams)
    )


def _entry_settings(
    host, hosts, log: str, host_list: str, sizes: Sizes
) -> EntrySettings:
    siblings = tuple(
        PeerSettings(h.zone, h.name, h.http, h.link) for h in hosts if h is not host
    )
    bootstrap_operator = OperatorSettings(OPERATORS[0], token_hash(OPERATORS[0]))
    return EntrySettings(
        host.zone,
        host.name,
        host.http,
        host.link,
        log,
        host_list,
        siblings=siblings,
        operators=(bootstrap_operator,),
        drain_ms=DRAIN_MS,
        memory_mb=sizes.memory_mb,
        max_descriptors=sizes.max_descriptors,
    )


def _configuration(sizes: Sizes, hosts, upstreams) -> Configuration:
    operators = tuple(
        OperatorEntry(name=name, token_sha256=(token_hash(name),), rights=tuple(Right))
        for name in OPERATORS
    )
    viewer = OperatorEntry(
        name=VIEWER, token_sha256=(token_hash(VIEWER),), rights=(Right.VIEW,)
    )
    return Configuration(
        customers=_customers(sizes),
        operators=(*operators, viewer),
        zones=tuple(ZoneEntry(name=zone, region="trial") for zone in _all_zones(sizes)),
        entry_hosts=hosts,
        upstreams=upstreams,
    )


def _customers(sizes: Sizes) -> tuple[CustomerEntry, ...]:
    slots = 8 * sizes.upstreams_per_zone * len(sizes.zones) or 8
    roster = CustomerEntry(
        name="roster",
        token_sha256=(token_hash(CALLER_TOKEN),),
        quota_slots=slots,
        classes=(
            JobClass(name="confirm-arrival"),
            JobClass(name="dispatch-reassign", idempotent=False),
            JobClass(name="ask-booked"),
        ),
    )
    reporting = CustomerEntry(
        name="reporting",
        token_sha256=(token_hash(OTHER_CALLER_TOKEN),),
        quota_slots=slots,
    )
    extra = tuple(
        CustomerEntry(
            name=f"customer{n}",
            token_sha256=(token_hash(f"customer{n}"),),
            quota_slots=8,
            classes=(JobClass(name="usual"), JobClass(name="nightly")),
        )
        for n in range(sizes.extra_customers)
    )
    return (roster, reporting, *extra)
