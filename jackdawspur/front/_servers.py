"""The HTTP servers of a host, which share the memory and connections of its process."""

from circuits import Component

from jackdawspur.adapters import (
    ProcessBudget,
    ResourceLimits,
    WebServer,
    WebService,
)
from jackdawspur.front._clock import now_s
from jackdawspur.front._job_memory import JobMemory
from jackdawspur.runs import JobSizes
from jackdawspur.settings import HostSettings

__all__ = ["HostServers"]


class HostServers:
    """Serves callers, readiness probes and operators."""

    def __init__(
        self,
        process: Component,
        settings: HostSettings,
        callers: WebService,
        ready: WebService,
        pages: WebService,
    ) -> None:
        self.limits = ResourceLimits(settings.memory_mb, settings.max_descriptors)
        self._process = process
        self._budget = ProcessBudget(self.limits)
        self.callers = self._listen(settings.callers, callers, "callers")
        self.ready = self._listen(settings.ready, ready, "ready")
        self.metrics: WebServer | None = None
        if settings.metrics is not None:
            self.metrics = self._listen(settings.metrics, pages, "metrics")

    def job_memory(self, own: JobSizes, led: JobSizes) -> JobMemory:
        """Return the part of the budget for the jobs of callers and of the leader."""
        return JobMemory(self.limits, self._budget, own, led)

    def _listen(self, address: str, service: WebService, channel: str) -> WebServer:
        server = WebServer(address, service, channel, now_s, budget=self._budget)
        return server.register(self._process)
