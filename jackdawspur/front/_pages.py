"""Pages for operators on a host's metrics address."""

from typing import Protocol

import msgspec

from jackdawspur.adapters import Call, WebService
from jackdawspur.callers import HttpResponse
from jackdawspur.front._clock import now_s
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._mesh import Mesh
from jackdawspur.front._status import StatusOwner, build_status, format_status

__all__ = ["OperatorPages"]

TEXT = "text/plain; charset=utf-8"
STATUS_PATH = "/status"
AS_TEXT = "format=text"


class PageOwner(StatusOwner, Protocol):
    """The host's parts that the pages show, and its method to reply."""

    metrics: HostMetrics
    average_lateness_s: float
    mesh: Mesh

    def reply_metrics(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a request for a page."""


class OperatorPages(WebService):
    """Serves the metrics of a host, and its status as JSON or text."""

    def __init__(self, owner: PageOwner) -> None:
        self._owner = owner

    def handle_call(self, call: Call) -> None:
        """Answer with one page."""
        reply = self._status(call) if call.path == STATUS_PATH else self._metrics()
        self._owner.reply_metrics(call.call_id, reply)

    def caller_disconnected(self, call_id: int) -> None:
        """Do nothing: a page has no state."""

    def _status(self, call: Call) -> HttpResponse:
        status = build_status(self._owner, now_s())
        if AS_TEXT in call.query:
            return HttpResponse(200, format_status(status).encode(), content_type=TEXT)
        return HttpResponse(200, msgspec.json.encode(status))

    def _metrics(self) -> HttpResponse:
        lines = [*self._owner.metrics.lines(), *_gauge_lines(self._owner), ""]
        return HttpResponse(200, "\n".join(lines).encode(), content_type=TEXT)


def _gauge_lines(owner: PageOwner) -> list[str]:
    """Return one line for each gauge."""
    now = now_s()
    return [
        f"jackdawspur_leads {int(owner.group.is_leader)}",
        f"jackdawspur_configuration_version {owner.routes.version}",
        f"jackdawspur_upstreams {len(owner.view.entries)}",
        f"jackdawspur_upstreams_age_s {owner.view.age_s(now):.3f}",
        f"jackdawspur_hosts_alive {len(owner.group.running_heartbeats(now)) + 1}",
        f"jackdawspur_open_jobs {len(owner.leader_driver.dispatcher.open_jobs)}",
        f"jackdawspur_callers_waiting {owner.callers.waiting}",
        f"jackdawspur_messages_dropped {owner.mesh.dropped_messages}",
        f"jackdawspur_message_bytes_sent {owner.mesh.bytes_sent}",
        f"jackdawspur_loop_late_ms {owner.average_lateness_s * 1000:.3f}",
    ]
