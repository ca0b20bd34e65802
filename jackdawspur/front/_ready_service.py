"""Handler of the platform's readiness probes."""

from jackdawspur.adapters import Call, WebService
from jackdawspur.callers import HttpResponse
from jackdawspur.front._service_owner import ServiceOwner

__all__ = ["ReadyService"]

READY = HttpResponse(200, b"{}")
NOT_READY = HttpResponse(503, b"{}")


class ReadyService(WebService):
    """Answers readiness probes: whether this host accepts new connections."""

    def __init__(self, owner: ServiceOwner) -> None:
        self._owner = owner

    def handle_call(self, call: Call) -> None:
        """Answer one probe."""
        reply = READY if self._owner.ready else NOT_READY
        self._owner.reply_ready(call.call_id, reply)

    def caller_disconnected(self, call_id: int) -> None:
        """Do nothing: a probe has no state."""
