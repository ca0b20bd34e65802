"""Sends counters and gauges to statsd."""

from statsd import StatsClient

from jackdawspur.adapters import split_address
from jackdawspur.dispatch import EntryCore

__all__ = ["StatsdReporter"]

REPORT_EVERY_TICKS = 20


class StatsdReporter:
    """Reports metrics in one packet, about once per second at 20 ticks per second."""

    def __init__(self, address: str | None, host: str) -> None:
        self._client: StatsClient | None = None
        if address is not None:
            prefix = f"jackdawspur.{host.replace('.', '_')}"
            self._client = StatsClient(*split_address(address), prefix=prefix)
        self._ticks = 0
        self._last_totals: dict[str, int] = {}
        self.link_bytes = 0

    def count_sent_bytes(self, count: int) -> None:
        """Count bytes sent to other entry hosts."""
        self.link_bytes += count

    def report(self, core: EntryCore) -> None:
        """Send counters and gauges on every `REPORT_EVERY_TICKS`-th call."""
        self._ticks += 1
        if self._client is None or self._ticks % REPORT_EVERY_TICKS:
            return
        counters = core.counters
        totals = {
            "jobs.complete": counters.complete,
            "jobs.failed": counters.failed,
            "jobs.refused": counters.refused,
            "jobs.delegated": counters.delegated,
            "starts": counters.starts,
            "starts.refused": counters.starts_refused,
            "starts.lost": counters.starts_lost,
            "status_queries": counters.status_queries,
            "links.bytes": self.link_bytes,
        }
        state = core.state
        with self._client.pipeline() as pipe:
            for name, total in totals.items():
                pipe.incr(name, total - self._last_totals.get(name, 0))
            pipe.gauge("tasks.waiting", state.queue.waiting())
            pipe.gauge("slots.busy", state.slots.busy())
        self._last_totals = totals
