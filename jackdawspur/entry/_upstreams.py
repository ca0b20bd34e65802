"""Driver that executes the core's effects on upstreams."""

from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent
from result import Ok, Result

from jackdawspur.adapters import (
    HttpClient,
    HttpClientLimits,
    HttpUpstreamClient,
    TimerQueue,
    split_address,
)
from jackdawspur.dispatch import (
    Event,
    QueryTaskStatus,
    ResultsReplied,
    StartRequestFailed,
    StartsReplied,
    StartTasks,
    StatusQueryFailed,
    StatusReplied,
    StopTasks,
    UsageReplied,
)
from jackdawspur.external import OutcomeUnknown, PlatformError, UpstreamReply
from jackdawspur.model import HostId, Upstream, UpstreamId

__all__ = ["UpstreamDriver"]

RESULT_WAIT_MS = 5000.0
POLL_RETRY_S = 0.1
USAGE_INTERVAL_S = 5.0
# Bounds the CPU time of an idle host: with many links, each upstream is queried less
# often than every `USAGE_INTERVAL_S`.
USAGE_REQUESTS_PER_S = 20.0
# Connections for starts to one upstream, and to all upstreams of a zone. Each one adds
# cost to the loop, and in a large zone there is little traffic to any one upstream.
MAX_CONNECTIONS = 4
MAX_ZONE_CONNECTIONS = 64
MAX_PENDING_REQUESTS = 256
# Each new connection makes circuits rebuild its handler cache. Hundreds in one pass
# would block the loop for longer than the heartbeat timeout of its peers.
OPEN_GAP_S = 0.01

Post = Callable[[Event], None]
Reply = Result[UpstreamReply, PlatformError]


@dataclass(slots=True)
class _Link:
    """Connections to one upstream, and the read position in its results."""

    address: str
    client: HttpUpstreamClient
    request_client: HttpClient
    poll_client: HttpClient
    cursor: int = 0
    incarnation: int | None = None
    polling: bool = False
    poll_client_registered: bool = False
    open: bool = True


class UpstreamDriver:
    """Keeps a link to each upstream of the zone and posts its replies as events.

    A link to an upstream of another zone is opened to use a slot borrowed there, and
    closed when idle.
    """

    def __init__(
        self,
        local_id: HostId,
        root: BaseComponent,
        timer_queue: TimerQueue,
        post: Post,
        has_in_flight_tasks: Callable[[UpstreamId], bool],
        crosses_zones: bool = True,
    ) -> None:
        self._local_id = local_id
        self._root = root
        self._timer_queue = timer_queue
        self._post = post
        self._has_in_flight_tasks = has_in_flight_tasks
        self._links: dict[UpstreamId, _Link] = {}
        self._crosses_zones = crosses_zones
        self._reachable: dict[UpstreamId, Upstream] = {}
        self._unconnected: dict[UpstreamId, Upstream] = {}
        self._max_connections = MAX_CONNECTIONS
        self._opening = False

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Open links to this zone's upstreams, and close idle ones gone or moved."""
        local_upstreams = [u for u in upstreams if u.id.zone == self._local_id.zone]
        reachable = upstreams if self._crosses_zones else local_upstreams
        self._reachable = {upstream.id: upstream for upstream in reachable}
        share = MAX_ZONE_CONNECTIONS // max(1, len(local_upstreams))
        self._max_connections = max(1, min(MAX_CONNECTIONS, share))
        for upstream_id, link in list(self._links.items()):
            configured = self._reachable.get(upstream_id)
            idle = not self._has_in_flight_tasks(upstream_id)
            if (configured is None or configured.address != link.address) and idle:
                self._close(upstream_id)
        self._unconnected = {
            u.id: u for u in local_upstreams if u.id not in self._links
        }
        if not self._opening:
            self._open_next()

    def _open_next(self) -> None:
        """Open the links one by one, with a delay that lets the loop do other work."""
        self._opening = bool(self._unconnected)
        if not self._opening:
            return
        self._open(next(iter(self._unconnected.values())))
        self._timer_queue.call_later(OPEN_GAP_S, self._open_next)

    def _link(self, upstream_id: UpstreamId) -> _Link | None:
        """Return the link to an upstream; open it if necessary."""
        if upstream_id not in self._links and upstream_id in self._reachable:
            self._open(self._reachable[upstream_id])
        return self._links.get(upstream_id)

    def _open(self, upstream: Upstream) -> None:
        self._unconnected.pop(upstream.id, None)
        address = split_address(upstream.address)
        share = max(1, min(upstream.connections, self._max_connections))
        limits = HttpClientLimits(
            max_connections=share, max_pending_requests=MAX_PENDING_REQUESTS
        )
        single_connection = HttpClientLimits(
            max_connections=1, max_pending_requests=MAX_PENDING_REQUESTS
        )
        request_client = HttpClient(address, self._timer_queue, limits).register(
            self._root
        )
        request_client.connect_all()
        # Registered with the first poll, as most upstreams run no task of this host.
        poll_client = HttpClient(address, self._timer_queue, single_connection)
        client = HttpUpstreamClient(
            upstream.id, self._local_id, request_client, poll_client
        )
        link = _Link(upstream.address, client, request_client, poll_client)
        self._links[upstream.id] = link
        self._query_usage(upstream.id, link)

    def _close(self, upstream: UpstreamId) -> None:
        link = self._links.pop(upstream)
        link.open = False
        link.client.close()
        link.request_client.unregister()
        if link.poll_client_registered:
            link.poll_client.unregister()

    def start(self, effect: StartTasks) -> None:
        """Send starts, without retries, and poll for the results."""
        link = self._link(effect.upstream)
        tasks = tuple(start.task for start in effect.starts)
        if link is None:
            self._post(StartRequestFailed(effect.upstream, tasks, maybe_sent=False))
            return

        def on_reply(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StartsReplied(reply.ok_value))
                return
            maybe_sent = isinstance(reply.err_value, OutcomeUnknown)
            self._post(StartRequestFailed(effect.upstream, tasks, maybe_sent))

        link.client.start(effect.starts, on_reply)
        self._poll(effect.upstream, link)

    def query_task_status(self, effect: QueryTaskStatus) -> None:
        """Query the status of tasks and seal those that have not started.

        Sealing tombstones a task id, so that the task can never start.
        """
        link = self._link(effect.upstream)
        if link is None:
            self._post(StatusQueryFailed(effect.upstream, effect.tasks))
            return

        def on_reply(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StatusReplied(reply.ok_value))
            else:
                self._post(StatusQueryFailed(effect.upstream, effect.tasks))

        link.client.status(effect.tasks, True, on_reply)

    def stop(self, effect: StopTasks) -> None:
        """Stop tasks; if the reply is lost, the expiry of their leases stops them."""
        link = self._link(effect.upstream)
        if link is None:
            return

        def on_reply(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StatusReplied(reply.ok_value))

        link.client.stop(effect.tasks, on_reply)

    def _poll(self, upstream: UpstreamId, link: _Link) -> None:
        """Poll for results while tasks are in flight at the upstream."""
        if link.polling or not link.open:
            return
        if not link.poll_client_registered:
            link.poll_client_registered = True
            link.poll_client.register(self._root)
        link.polling = True
        link.client.results(
            link.cursor,
            RESULT_WAIT_MS,
            lambda reply: self._on_results(upstream, link, reply),
        )

    def _on_results(self, upstream: UpstreamId, link: _Link, reply: Reply) -> None:
        link.polling = False
        if isinstance(reply, Ok):
            self._record_results(link, reply.ok_value)
            self._timer_queue.call_later(
                0.0, lambda: self._continue_polling(upstream, link)
            )
        else:
            # The upstream keeps results until a later cursor acknowledges them.
            self._timer_queue.call_later(
                POLL_RETRY_S, lambda: self._continue_polling(upstream, link)
            )

    def _record_results(self, link: _Link, reply: UpstreamReply) -> None:
        if link.incarnation not in (None, reply.incarnation):
            link.cursor = 0
        link.incarnation = reply.incarnation
        link.cursor = reply.cursor
        self._post(ResultsReplied(reply))

    def _continue_polling(self, upstream: UpstreamId, link: _Link) -> None:
        if self._has_in_flight_tasks(upstream):
            self._poll(upstream, link)

    def _query_usage(self, upstream: UpstreamId, link: _Link) -> None:
        """Query the usage periodically; it also shows a restart or a shutdown."""
        if not link.open:
            return

        def on_reply(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(UsageReplied(reply.ok_value))
            interval_s = max(USAGE_INTERVAL_S, len(self._links) / USAGE_REQUESTS_PER_S)
            self._timer_queue.call_later(
                interval_s, lambda: self._query_usage_again(upstream, link)
            )

        link.client.usage(on_reply)

    def _query_usage_again(self, upstream: UpstreamId, link: _Link) -> None:
        """Close the link to an idle upstream of another zone, or query its usage."""
        in_other_zone = upstream.zone != self._local_id.zone
        if link.open and in_other_zone and not self._has_in_flight_tasks(upstream):
            self._close(upstream)
        else:
            self._query_usage(upstream, link)
