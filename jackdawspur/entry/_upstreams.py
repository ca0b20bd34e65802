"""Carrying out what the decisions ask of upstreams."""

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
# Large zones are asked less often, so that an idle host's cost stays bounded.
USAGE_REQUESTS_PER_S = 20.0
# Connections for starts to one upstream, and to all of a zone together: each costs
# the loop something, and in a large zone little goes to any one upstream.
MOST_CONNECTIONS = 4
ZONE_CONNECTIONS = 64
MAX_WAITING_REQUESTS = 256
# A new connection makes circuits look for its handlers anew. Hundreds in one pass
# would stop the loop for longer than its peers wait for a heartbeat.
OPEN_GAP_S = 0.01

Post = Callable[[Event], None]
Reply = Result[UpstreamReply, PlatformError]


@dataclass(slots=True)
class _Link:
    """Hold the connections to one upstream and how far its results were read."""

    address: str
    client: HttpUpstreamClient
    requests: HttpClient
    polls: HttpClient
    cursor: int = 0
    incarnation: int | None = None
    polling: bool = False
    follows: bool = False
    open: bool = True


class UpstreamDriver:
    """Keep a link to each upstream of the zone and report what comes back.

    Upstreams of other zones are linked to when they lend a slot, and left when idle.
    """

    def __init__(
        self,
        own: HostId,
        root: BaseComponent,
        timer_queue: TimerQueue,
        post: Post,
        has_flights: Callable[[UpstreamId], bool],
        crosses_zones: bool = True,
    ) -> None:
        self._own = own
        self._root = root
        self._timer_queue = timer_queue
        self._post = post
        self._has_flights = has_flights
        self._links: dict[UpstreamId, _Link] = {}
        self._crosses_zones = crosses_zones
        self._known: dict[UpstreamId, Upstream] = {}
        self._unopened: dict[UpstreamId, Upstream] = {}
        self._connections = MOST_CONNECTIONS
        self._opening = False

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Link to the upstreams of the own zone and leave those that went."""
        own = [u for u in upstreams if u.id.zone == self._own.zone]
        reached = upstreams if self._crosses_zones else own
        self._known = {upstream.id: upstream for upstream in reached}
        share = ZONE_CONNECTIONS // max(1, len(own))
        self._connections = max(1, min(MOST_CONNECTIONS, share))
        for name, link in list(self._links.items()):
            wanted = self._known.get(name)
            idle = not self._has_flights(name)
            if (wanted is None or wanted.address != link.address) and idle:
                self._close(name)
        self._unopened = {u.id: u for u in own if u.id not in self._links}
        if not self._opening:
            self._open_next()

    def _open_next(self) -> None:
        """Open one link after the other, with room for other work between them."""
        self._opening = bool(self._unopened)
        if not self._opening:
            return
        self._open(next(iter(self._unopened.values())))
        self._timer_queue.call_later(OPEN_GAP_S, self._open_next)

    def _link(self, name: UpstreamId) -> _Link | None:
        """Return the link to an upstream, opened if it is not open yet."""
        if name not in self._links and name in self._known:
            self._open(self._known[name])
        return self._links.get(name)

    def _open(self, upstream: Upstream) -> None:
        self._unopened.pop(upstream.id, None)
        address = split_address(upstream.address)
        share = max(1, min(upstream.connections, self._connections))
        limits = HttpClientLimits(
            max_connections=share, max_pending_requests=MAX_WAITING_REQUESTS
        )
        one = HttpClientLimits(
            max_connections=1, max_pending_requests=MAX_WAITING_REQUESTS
        )
        requests = HttpClient(address, self._timer_queue, limits).register(self._root)
        requests.connect_all()
        # Registered with the first poll: most upstreams have no task of this host.
        polls = HttpClient(address, self._timer_queue, one)
        client = HttpUpstreamClient(upstream.id, self._own, requests, polls)
        link = _Link(upstream.address, client, requests, polls)
        self._links[upstream.id] = link
        self._ask_usage(upstream.id, link)

    def _close(self, upstream: UpstreamId) -> None:
        link = self._links.pop(upstream)
        link.open = False
        link.client.close()
        link.requests.unregister()
        if link.follows:
            link.polls.unregister()

    def start(self, effect: StartTasks) -> None:
        """Send starts, once, and follow the results."""
        link = self._link(effect.upstream)
        tasks = tuple(start.task for start in effect.starts)
        if link is None:
            self._post(StartRequestFailed(effect.upstream, tasks, maybe_sent=False))
            return

        def done(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StartsReplied(reply.ok_value))
                return
            left = isinstance(reply.err_value, OutcomeUnknown)
            self._post(StartRequestFailed(effect.upstream, tasks, left))

        link.client.start(effect.starts, done)
        self._poll(effect.upstream, link)

    def query_task_status(self, effect: QueryTaskStatus) -> None:
        """Ask how far tasks are and bar those that have not started."""
        link = self._link(effect.upstream)
        if link is None:
            self._post(StatusQueryFailed(effect.upstream, effect.tasks))
            return

        def done(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StatusReplied(reply.ok_value))
            else:
                self._post(StatusQueryFailed(effect.upstream, effect.tasks))

        link.client.status(effect.tasks, True, done)

    def stop(self, effect: StopTasks) -> None:
        """Stop tasks; a lost reply is left to their leases."""
        link = self._link(effect.upstream)
        if link is None:
            return

        def done(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(StatusReplied(reply.ok_value))

        link.client.stop(effect.tasks, done)

    def _poll(self, upstream: UpstreamId, link: _Link) -> None:
        """Wait for results while some task is under way there."""
        if link.polling or not link.open:
            return
        if not link.follows:
            link.follows = True
            link.polls.register(self._root)
        link.polling = True
        link.client.results(
            link.cursor,
            RESULT_WAIT_MS,
            lambda reply: self._polled(upstream, link, reply),
        )

    def _polled(self, upstream: UpstreamId, link: _Link, reply: Reply) -> None:
        link.polling = False
        if isinstance(reply, Ok):
            self._take_results(link, reply.ok_value)
            self._timer_queue.call_later(0.0, lambda: self._poll_again(upstream, link))
        else:
            # The upstream keeps results until a later cursor, so none is lost.
            self._timer_queue.call_later(
                POLL_RETRY_S, lambda: self._poll_again(upstream, link)
            )

    def _take_results(self, link: _Link, reply: UpstreamReply) -> None:
        if link.incarnation not in (None, reply.incarnation):
            link.cursor = 0
        link.incarnation = reply.incarnation
        link.cursor = reply.cursor
        self._post(ResultsReplied(reply))

    def _poll_again(self, upstream: UpstreamId, link: _Link) -> None:
        if self._has_flights(upstream):
            self._poll(upstream, link)

    def _ask_usage(self, upstream: UpstreamId, link: _Link) -> None:
        """Ask for the load now and then: it also tells of restarts and of leaving."""
        if not link.open:
            return

        def done(reply: Reply) -> None:
            if isinstance(reply, Ok):
                self._post(UsageReplied(reply.ok_value))
            interval_s = max(USAGE_INTERVAL_S, len(self._links) / USAGE_REQUESTS_PER_S)
            self._timer_queue.call_later(
                interval_s, lambda: self._ask_again(upstream, link)
            )

        link.client.usage(done)

    def _ask_again(self, upstream: UpstreamId, link: _Link) -> None:
        """Leave an idle upstream of another zone, or ask for its load again."""
        foreign = upstream.zone != self._own.zone
        if link.open and foreign and not self._has_flights(upstream):
            self._close(upstream)
        else:
            self._ask_usage(upstream, link)
