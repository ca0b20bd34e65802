"""Settings and a configuration for a deployment on free ports of this machine."""

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
    "CALLER",
    "OPERATORS",
    "OTHER_CALLER",
    "VIEWER",
    "Sizes",
    "TrialSettings",
    "make_settings",
]

CALLER = "trial-roster-token"
OTHER_CALLER = "trial-reporting-token"
OPERATORS = tuple(f"op{number}" for number in range(8))
VIEWER = "viewer"
RACK = 64
DRAIN_MS = 20_000.0


@dataclass(frozen=True, slots=True)
class Sizes:
    """Size a deployment; the delay and the lag in milliseconds."""

    zones: tuple[str, ...] = ("north", "south")
    hosts_a_zone: int = 2
    upstreams_a_zone: int = 4
    append_delay_ms: float = 5.0
    lag_ms: float = 1000.0
    # Configured beside those that run; nothing listens at their addresses.
    absent_zones: int = 0
    absent_upstreams: int = 0
    more_customers: int = 0
    cut_from_log: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TrialSettings:
    """Hold what the processes of a deployment are started with."""

    log: LogStandinSettings
    host_list: HostListStandinSettings
    racks: tuple[WorkerPoolStandinSettings, ...]
    hosts: tuple[EntrySettings, ...]
    configuration: Configuration


class _Addresses:
    """Choose free ports at a loopback address of this process's own.

    A port that was free a moment ago may become the source port of somebody's
    connection before the program binds it. Connections start at 127.0.0.1, so at
    another loopback address no such connection can take it.
    """

    def __init__(self) -> None:
        number = os.getpid()
        self._ip = f"127.{1 + number // 250 % 250}.{number % 250}.7"
        self._held: list[socket.socket] = []

    def take(self) -> str:
        """Return a free address and hold it until all are chosen."""
        held = socket.socket()
        held.bind((self._ip, 0))
        self._held.append(held)
        return f"{self._ip}:{held.getsockname()[1]}"

    def release(self) -> None:
        """Free the ports for the programs that will bind them."""
        for held in self._held:
            held.close()


def make_settings(sizes: Sizes) -> TrialSettings:
    """Return settings and the first configuration of a deployment."""
    addresses = _Addresses()
    closed = addresses.take()
    log = LogStandinSettings(addresses.take(), sizes.append_delay_ms)
    hosts = tuple(
        EntryHostEntry(
            zone=zone, name=f"e{n + 1}", http=addresses.take(), link=addresses.take()
        )
        for zone in sizes.zones
        for n in range(sizes.hosts_a_zone)
    )
    upstreams = tuple(
        UpstreamEntry(zone=zone, name=f"w{n + 1}", address=addresses.take())
        for zone in sizes.zones
        for n in range(sizes.upstreams_a_zone)
    )
    host_list = _host_list(addresses.take(), sizes, hosts, upstreams)
    addresses.release()
    racks = _racks(sizes, upstreams)
    entries = tuple(
        _entry(
            host,
            hosts,
            closed if host.zone in sizes.cut_from_log else log.address,
            host_list.address,
        )
        for host in hosts
    )
    configuration = _configuration(sizes, hosts, (*upstreams, *_absent(sizes)))
    return TrialSettings(log, host_list, racks, entries, configuration)


def _racks(sizes: Sizes, upstreams) -> tuple[WorkerPoolStandinSettings, ...]:
    """Return racks of at most `RACK` upstreams of one zone each."""
    racks = []
    for zone in sizes.zones:
        addresses = [u.address for u in upstreams if u.zone == zone]
        racks += [
            WorkerPoolStandinSettings(
                tuple(addresses[start : start + RACK]), seed=RACK * len(racks)
            )
            for start in range(0, len(addresses), RACK)
        ]
    return tuple(racks)


def _host_list(address: str, sizes: Sizes, hosts, upstreams) -> HostListStandinSettings:
    listed = [ListedHostSettings(h.zone, h.name, "entry") for h in hosts]
    listed += [
        ListedHostSettings(u.zone, u.name, "upstream")
        for u in (*upstreams, *_absent(sizes))
    ]
    return HostListStandinSettings(address, sizes.lag_ms, tuple(listed))


def _all_zones(sizes: Sizes) -> tuple[str, ...]:
    return (*sizes.zones, *(f"zone{n}" for n in range(sizes.absent_zones)))


def _absent(sizes: Sizes) -> tuple[UpstreamEntry, ...]:
    """Return upstreams for the size only, spread over the absent zones."""
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


def _entry(host, hosts, log: str, host_list: str) -> EntrySettings:
    siblings = tuple(
        PeerSettings(h.zone, h.name, h.http, h.link) for h in hosts if h is not host
    )
    first = OperatorSettings(OPERATORS[0], token_hash(OPERATORS[0]))
    return EntrySettings(
        host.zone,
        host.name,
        host.http,
        host.link,
        log,
        host_list,
        siblings=siblings,
        operators=(first,),
        drain_ms=DRAIN_MS,
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
    slots = 8 * sizes.upstreams_a_zone * len(sizes.zones) or 8
    roster = CustomerEntry(
        name="roster",
        token_sha256=(token_hash(CALLER),),
        quota_slots=slots,
        classes=(
            JobClass(name="confirm-arrival"),
            JobClass(name="dispatch-reassign", idempotent=False),
            JobClass(name="ask-booked"),
        ),
    )
    reporting = CustomerEntry(
        name="reporting", token_sha256=(token_hash(OTHER_CALLER),), quota_slots=slots
    )
    more = tuple(
        CustomerEntry(
            name=f"customer{n}",
            token_sha256=(token_hash(f"customer{n}"),),
            quota_slots=8,
            classes=(JobClass(name="usual"), JobClass(name="nightly")),
        )
        for n in range(sizes.more_customers)
    )
    return (roster, reporting, *more)
