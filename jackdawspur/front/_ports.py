"""Interfaces to the platform, to be implemented by an adapter."""

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
    MAX_TOTAL_SIZE,
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
    "PlatformPorts",
    "RequestKind",
    "StoreListener",
    "StorePort",
    "UpstreamPort",
]


class UpstreamPort(abc.ABC):
    """Calls to upstreams; each `done` is called once, after the method has returned."""

    @abc.abstractmethod
    def start(self, effect: StartRun, done: Callable[[CallOutcome], None]) -> None:
        """Start a run."""

    @abc.abstractmethod
    def stop(self, effect: StopRun, done: Callable[[CallOutcome], None]) -> None:
        """Stop a run."""

    @abc.abstractmethod
    def poll_runs(
        self, effect: PollUpstream, done: Callable[[PollReport | CallOutcome], None]
    ) -> None:
        """Poll for all runs and renew the lease."""

    @abc.abstractmethod
    def close_connections_except(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""


class StoreListener(abc.ABC):
    """Receives the content of the platform's store."""

    @property
    @abc.abstractmethod
    def upstream_list_interval_s(self) -> float:
        """Return the interval between reads of the list of upstreams, in seconds."""

    @abc.abstractmethod
    def on_configuration(self, version: int, document: bytes) -> None:
        """Handle the newest configuration, as published."""

    @abc.abstractmethod
    def on_upstreams(self, entries: tuple[UpstreamEntry, ...]) -> None:
        """Handle the complete list of upstreams."""

    @abc.abstractmethod
    def on_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Handle the zones on whose upstreams no run may start."""

    @abc.abstractmethod
    def on_hosts(self, hosts: tuple[HostAddress, ...]) -> None:
        """Handle the hosts that announced themselves."""

    @abc.abstractmethod
    def on_store_reachability(self, reachable: bool, reason: str) -> None:
        """Handle the loss or return of the store."""


class StorePort(abc.ABC):
    """Access to the platform's store."""

    @abc.abstractmethod
    def start_watch(self, listener: StoreListener) -> None:
        """Read the store at intervals from now on."""

    @abc.abstractmethod
    def announce(self, host: HostAddress) -> None:
        """Publish this host's address, with retries until it succeeds."""


class RequestKind(Enum):
    """Kind of a caller's request."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request; `caller_timeout_s` is None if the caller states none.

    `job` is the id of the job; `request` is set for a submission only.
    """

    kind: RequestKind
    route: Route
    job: str
    request: JobRequest | None
    caller_timeout_s: float | None


class CallerPort(abc.ABC):
    """Decodes requests of callers and encodes replies to them."""

    @abc.abstractmethod
    def decode_call(
        self, call: Call, routes: RouteTable, max_size: int = MAX_TOTAL_SIZE
    ) -> CallerRequest | HttpResponse:
        """Decode a request; return the refusal instead if it is invalid.

        A job that is larger than `max_size`, as `job_size` counts, is refused too.
        """

    @abc.abstractmethod
    def encode_outcome(self, outcome: JobOutcome) -> HttpResponse:
        """Return the reply to a submission."""

    @abc.abstractmethod
    def encode_waiting_count(self, waiting: int) -> HttpResponse:
        """Return the reply to a request for the number of waiting jobs."""

    @abc.abstractmethod
    def encode_unknown_job(self) -> HttpResponse:
        """Return the reply to a request for a job that is not known here."""

    @abc.abstractmethod
    def encode_cancelled(self) -> HttpResponse:
        """Return the reply to a successful cancellation."""

    @abc.abstractmethod
    def encode_not_ready(self, reason: str) -> HttpResponse:
        """Return the refusal of a host that is not ready."""

    @abc.abstractmethod
    def decode_configuration(self, document: bytes) -> RouteTable:
        """Decode the routes of a configuration; raise `ConfigurationDecodeError`."""


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """The adapter's ports to the platform."""

    callers: CallerPort
    upstreams: UpstreamPort
    store: StorePort
