"""The configured hosts, upstreams and customers."""

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
    """What to minimize when response time and number of messages conflict."""

    RESPONSE_TIME = "response_time"
    MESSAGES = "messages"


@dataclass(frozen=True, slots=True)
class Contract:
    """Service levels promised to a customer.

    `tail_over_ideal` bounds the response time divided by the ideal one, which is the
    run time of the longest task plus the round trip. `max_wait_ms` bounds the wait
    until the last start of an admitted job.
    """

    objective: Objective = Objective.RESPONSE_TIME
    tail_over_ideal: float = 2.0
    max_wait_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its contract and its quota over all zones.

    `quota_slots` is the number of tasks that it may have running at once. `weight`
    determines its share of the slots when customers compete.
    """

    name: str
    quota_slots: int
    weight: float = 1.0
    contract: Contract = Contract()


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host and the addresses where it listens, as ``IP:port``."""

    zone: str
    name: str
    http: str
    link: str


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream with its address and capacity."""

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
    """When an upstream that fails tasks is ejected, and when it is readmitted.

    `max_share` is the maximum fraction of a zone's upstreams ejected at once.
    """

    after_failures: int = 2
    max_share: float = 0.34
    readmit_after_s: float = 5.0


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """The hosts, upstreams and customers in one version of the configuration.

    `version` is the log offset of the confirm record that put the version in force.
    """

    version: int = -1
    customers: tuple[Customer, ...] = ()
    entry_hosts: tuple[EntryHost, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    ejection: EjectionPolicy = EjectionPolicy()
