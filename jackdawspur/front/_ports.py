"""What a host needs of the platform, to be fitted by an adapter."""

import abc
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from jackdawspur.adapters import Call
from jackdawspur.callers import HttpResponse
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import HostAddress
from jackdawspur.leases import CallOutcome, PollReport, UpstreamEntry
from jackdawspur.runs import (
    JobOutcome,
    JobRequest,
    PollUpstream,
    Route,
    StartRun,
    StopRun,
)

__all__ = [
    "CallerPort",
    "CallerRequest",
    "RequestKind",
    "StoreListener",
    "StorePort",
    "UpstreamPort",
]


class UpstreamPort(abc.ABC):
    """Carry calls to upstreams; each `done` is called once, never at once."""

    @abc.abstractmethod
    def start(self, order: StartRun, done: Callable[[CallOutcome], None]) -> None:
        """Start a run."""

    @abc.abstractmethod
    def stop(self, order: StopRun, done: Callable[[CallOutcome], None]) -> None:
        """Stop a run."""

    @abc.abstractmethod
    def poll_runs(
        self, order: PollUpstream, done: Callable[[PollReport | CallOutcome], None]
    ) -> None:
        """Ask for all runs and prolong the lease."""

    @abc.abstractmethod
    def close_connections_except(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""


class StoreListener(abc.ABC):
    """Hear what stands in the platform's store."""

    @property
    @abc.abstractmethod
    def upstream_list_interval_s(self) -> float:
        """Return how often the list of upstreams is to be read, in seconds."""

    @abc.abstractmethod
    def on_configuration(self, version: int, document: bytes) -> None:
        """Take in the newest configuration, as published."""

    @abc.abstractmethod
    def on_upstreams(self, entries: tuple[UpstreamEntry, ...]) -> None:
        """Take in the whole list of upstreams."""

    @abc.abstractmethod
    def on_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Take in the zones on whose upstreams nothing more may start."""

    @abc.abstractmethod
    def on_hosts(self, hosts: tuple[HostAddress, ...]) -> None:
        """Take in the hosts that announced themselves."""

    @abc.abstractmethod
    def on_store_reachability(self, reachable: bool, reason: str) -> None:
        """Take in that the store is lost or regained."""


class StorePort(abc.ABC):
    """Follow the platform's store."""

    @abc.abstractmethod
    def start_watch(self, listener: StoreListener) -> None:
        """Begin to read, and never stop."""

    @abc.abstractmethod
    def announce(self, host: HostAddress) -> None:
        """Publish where this host is, until it worked."""


class RequestKind(Enum):
    """Say what a caller wants."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Carry one caller's request; `caller_timeout_s` is how long it waits, if it said
    so."""

    kind: RequestKind
    route: Route
    job: str
    request: JobRequest | None
    caller_timeout_s: float | None


class CallerPort(abc.ABC):
    """Translate between callers and the product."""

    @abc.abstractmethod
    def decode_call(
        self, call: Call, routes: RouteTable
    ) -> CallerRequest | HttpResponse:
        """Return what a caller asks, or the refusal of what can't be understood."""

    @abc.abstractmethod
    def encode_outcome(self, outcome: JobOutcome) -> HttpResponse:
        """Return the reply to a submission."""

    @abc.abstractmethod
    def encode_waiting_count(self, waiting: int) -> HttpResponse:
        """Return the reply to a question how many jobs wait."""

    @abc.abstractmethod
    def encode_unknown_job(self) -> HttpResponse:
        """Return the reply to a question about a job that is not here."""

    @abc.abstractmethod
    def encode_cancelled(self) -> HttpResponse:
        """Return the reply to a cancel that was carried out."""

    @abc.abstractmethod
    def encode_not_ready(self, reason: str) -> HttpResponse:
        """Return the refusal of a host that can't serve yet."""

    @abc.abstractmethod
    def decode_configuration(self, document: bytes) -> RouteTable:
        """Return the routes of a configuration; raise `ConfigurationDecodeError`."""
