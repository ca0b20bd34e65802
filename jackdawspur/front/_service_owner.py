"""The parts of a host that its services use."""

from typing import Protocol

from jackdawspur.callers import HttpResponse
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import Group, GroupMessage, HostAddress
from jackdawspur.runs import Offer

__all__ = ["ServiceOwner"]


class ServiceOwner(Protocol):
    """The host's parts that the services use."""

    address: HostAddress
    group: Group
    metrics: HostMetrics
    routes: RouteTable
    leader_driver: "LocalLeader"
    ready: bool

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a caller."""

    def reply_ready(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a readiness probe."""

    def waiting_jobs(self, route: str) -> int:
        """Return the number of a route's jobs that wait."""

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""


class LocalLeader(Protocol):
    """The part of this host that acts while it leads."""

    def accept_offer(self, offer: Offer, now: float) -> None:
        """Accept a job."""

    def cancel_job(self, host: str, job: str, call: int, now: float) -> None:
        """Cancel a job whose caller left."""
