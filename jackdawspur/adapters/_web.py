"""A bounded HTTP server on circuits.web whose replies may come later."""

import abc
import logging
from collections import defaultdict
from dataclasses import dataclass
from time import monotonic
from urllib.parse import parse_qs

from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import close, read
from circuits.web.events import response
from circuits.web.headers import Headers
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response

from jackdawspur.callers import HttpReply, reply_refusal
from jackdawspur.model import FailureCode

__all__ = ["Call", "WebServer", "WebService"]

MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 65_536
MAX_CONNECTIONS = 1024
REQUEST_TIME_LIMIT_S = 10.0
SWEEP_INTERVAL_S = 1.0
CLIENT_ERROR_FLOOR = 400

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Call:
    """Carry one HTTP request; `number` names it in the reply."""

    number: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def flag(self, name: str) -> bool:
        """Tell whether the query sets a flag to true."""
        return parse_qs(self.query).get(name, [""])[-1] == "true"

    @property
    def token(self) -> str | None:
        """Return the bearer token, if one was sent."""
        scheme, _, token = self.headers.get("Authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None


class WebService(abc.ABC):
    """Handle calls; replies go back through `WebServer.reply`."""

    @abc.abstractmethod
    def called(self, call: Call) -> None:
        """Handle one call."""

    @abc.abstractmethod
    def closed(self, number: int) -> None:
        """Note that the caller of an open call went away."""


class sweep(Event):
    """Look for connections that send too slowly."""


class _QuietServer(BaseServer):
    """Leave shutdown and the terminal to the host that runs the server."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind) -> None:
        """Keep circuits' banner out of the log."""

    @handler("signal", override=True)
    def _on_signal(self, *_signal) -> None:
        """Go on serving: circuits would close the server and cut off requests."""


class WebServer(BaseComponent):
    """Serve HTTP on one address, with bounded bodies, connections and time."""

    def __init__(self, bind: str, service: WebService, channel: str = "web") -> None:
        super().__init__(channel=channel)
        self._service = service
        self._next_call = 1
        self._open: dict[int, Response] = {}
        self._calls_of: defaultdict[object, set[int]] = defaultdict(set)
        self._received: defaultdict[object, int] = defaultdict(int)
        self._reading_since: dict[object, float] = {}
        self._server = _QuietServer(bind, channel=channel, display_banner=False)
        self._server.register(self)
        Timer(SWEEP_INTERVAL_S, sweep(), channel, persist=True).register(self)

    @property
    def port(self) -> int:
        """Return the port the server listens on."""
        return self._server.port

    @property
    def open_calls(self) -> int:
        """Return the number of calls without a reply."""
        return len(self._open)

    def reply(self, number: int, reply: HttpReply) -> None:
        """Send the reply of a call; a call whose caller left is ignored."""
        res = self._open.pop(number, None)
        if res is None:
            return
        self._calls_of[res.request.sock].discard(number)
        self._respond(res, reply)

    def _respond(self, res: Response, reply: HttpReply) -> None:
        res.status = reply.status
        res.body = reply.body
        res.headers["Content-Type"] = reply.content_type
        if reply.retry_after_s:
            res.headers["Retry-After"] = str(reply.retry_after_s)
        self.fire(response(res))

    @handler("connect")
    def _on_connect(self, sock, *_address) -> None:
        """Refuse connections beyond the bound, so that open ones stay served."""
        if len(self._reading_since) >= MAX_CONNECTIONS:
            self.fire(close(sock))
            return
        self._reading_since[sock] = monotonic()

    @handler("disconnect")
    def _on_disconnect(self, sock) -> None:
        self._reading_since.pop(sock, None)
        self._received.pop(sock, None)
        # circuits keeps the parser of a half-sent request; a new socket object that
        # compares equal would go on with it.
        self._server.http._buffers.pop(sock, None)
        for number in self._calls_of.pop(sock, ()):
            del self._open[number]
            self._service.closed(number)

    @handler("read", priority=1)
    def _on_read(self, event, sock, data) -> None:
        """Bound what one request may make this host hold in memory."""
        self._received[sock] += len(data)
        if self._received[sock] <= MAX_BODY_BYTES + MAX_HEADER_BYTES:
            return
        event.stop()
        self._server.http._buffers.pop(sock, None)
        text = f"a request may have at most {MAX_BODY_BYTES} bytes"
        self._refuse_raw(sock, reply_refusal(FailureCode.TOO_LARGE, text))

    def _refuse_raw(self, sock, reply: HttpReply) -> None:
        """Answer a request that was not read to its end, and close."""
        self._received.pop(sock, None)
        res = Response(Request(sock, server=self._server))
        res.close = True
        self._respond(res, reply)

    @handler("request", priority=1)
    def _on_request(self, event, req, res, *_peer_certificate) -> bool:
        self._received.pop(req.sock, None)
        self._reading_since[req.sock] = monotonic()
        number = self._next_call
        self._next_call += 1
        self._open[number] = res
        self._calls_of[req.sock].add(number)
        call = Call(number, req.method, req.path, req.qs, req.headers, req.body.read())
        event.stop()
        self._service.called(call)
        # circuits sends no reply of its own for a handler that returns a bool.
        return True

    @handler("httperror", priority=1)
    def _on_httperror(self, event, req, res, code, **_details) -> None:
        """Answer what circuits refused in the same form as our own refusals."""
        event.stop()
        text = f"the HTTP request could not be read ({code})"
        res.close = code >= CLIENT_ERROR_FLOOR
        self._respond(res, reply_refusal(FailureCode.INVALID, text))

    @handler("exception", channel="*")
    def _on_exception(self, _type, error, trace, handler=None, fevent=None) -> None:
        """Log what a handler raised, and answer a request that can't be read.

        circuits drops exceptions in silence; the caller of such a request would wait.
        """
        log.error("handler failed", extra={"event": repr(fevent), "trace": trace})
        if isinstance(fevent, read) and self.channel in fevent.channels:
            sock = fevent.args[0]
            self._server.http._buffers.pop(sock, None)
            self._server.http._clients.pop(sock, None)
            text = f"the HTTP request could not be read ({error})"
            self._refuse_raw(sock, reply_refusal(FailureCode.INVALID, text))

    @handler("sweep")
    def _on_sweep(self) -> None:
        """Close connections whose request does not arrive whole in time."""
        limit = monotonic() - REQUEST_TIME_LIMIT_S
        late = [s for s, since in self._reading_since.items() if since < limit]
        for sock in late:
            if self._received.get(sock):
                text = f"the request took over {REQUEST_TIME_LIMIT_S:.0f} s to arrive"
                self._refuse_raw(sock, reply_refusal(FailureCode.INVALID, text))
            else:
                self._reading_since[sock] = monotonic()
