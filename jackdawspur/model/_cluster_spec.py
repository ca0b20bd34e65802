"""Hosts, upstreams, customers and their contracts."""

import enum
from dataclasses import dataclass

from jackdawspur.model._ids import UpstreamId

__all__ = [
    "ClusterSpec",
    "Contract",
    "Customer",
    "EjectionPolicy",
    "EntryHost",
    "Objective",
    "Upstream",
]


class Objective(enum.StrEnum):
    """Choose what weighs most where response time and messages conflict."""

    RESPONSE_TIME = "response_time"
    MESSAGES = "messages"


@dataclass(frozen=True, slots=True)
class Contract:
    """State what a customer is promised.

    `tail_over_ideal` bounds response time over the longest task's time alone plus
    the round trip; `max_wait_ms` bounds the wait before an admitted job's last start.
    """

    objective: Objective = Objective.RESPONSE_TIME
    tail_over_ideal: float = 2.0
    max_wait_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Customer:
    """Describe a customer: its contract and its quota over all zones.

    `quota_slots` is the number of tasks it may have running at once; `weight` its
    share where customers compete.
    """

    name: str
    quota_slots: int
    weight: float = 1.0
    contract: Contract = Contract()


@dataclass(frozen=True, slots=True)
class EntryHost:
    """Say where an entry host listens; addresses are ``IP:port``."""

    zone: str
    name: str
    http: str
    link: str


@dataclass(frozen=True, slots=True)
class Upstream:
    """Say where an upstream listens and what it can hold."""

    id: UpstreamId
    address: str
    slots: int = 8
    connections: int = 64
    cpus: int = 32
    memory_mb: int = 131072
    accelerators: int = 0
    rack: str = ""


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Say when an upstream that fails what it starts gets no more work.

    `max_share` is the largest part of a zone's upstreams ejected at once.
    """

    after_failures: int = 2
    max_share: float = 0.34
    readmit_after_s: float = 5.0


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """Hold what one version of the configuration says of the world.

    `version` is the log offset of the confirm that put it in force.
    """

    version: int = -1
    customers: tuple[Customer, ...] = ()
    entry_hosts: tuple[EntryHost, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    ejection: EjectionPolicy = EjectionPolicy()
