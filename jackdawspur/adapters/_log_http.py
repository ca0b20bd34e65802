"""Client of the platform's log over HTTP/JSON."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec
from result import Result

from jackdawspur.adapters._http_client import HttpClient
from jackdawspur.adapters._json_reply import MS_PER_S, reply_handler, success_body
from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.external import Log, LogRecord, LogTrimmed, PlatformError, Unavailable
from jackdawspur.wire import AppendReply, ReadReply, TrimmedReply

__all__ = ["HttpLog", "LogTimeouts"]

GONE = 410
TOO_MANY_REQUESTS = 429
PEER = "the log"


@dataclass(frozen=True, slots=True)
class LogTimeouts:
    """Reply timeouts in milliseconds.

    `read_ms` is added to the wait time that a read requests.
    """

    append_ms: float = 2000.0
    read_ms: float = 2000.0


class HttpLog(Log):
    """Appends to and reads from the log; reads use a separate client."""

    def __init__(
        self,
        appends: HttpClient,
        reads: HttpClient,
        timeouts: LogTimeouts | None = None,
    ) -> None:
        self._appends = appends
        self._reads = reads
        self._timeouts = timeouts or LogTimeouts()

    def append(
        self,
        stream: str,
        body: str,
        done: Callable[[Result[int, PlatformError]], None],
    ) -> None:
        """Append a record and report its offset.

        After `OutcomeUnknown` the record may be in the log.
        """
        timeout_s = self._timeouts.append_ms / MS_PER_S
        receive = reply_handler(PEER, _read_offset, done)
        self._appends.request("POST", _path(stream), body.encode(), timeout_s, receive)

    def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float,
        done: Callable[[Result[tuple[LogRecord, ...], PlatformError]], None],
    ) -> None:
        """Report the records from `offset` on, or `LogTrimmed`."""
        query = urlencode({"from": offset, "wait_ms": int(wait_ms)})
        timeout_s = (wait_ms + self._timeouts.read_ms) / MS_PER_S
        receive = reply_handler(PEER, _read_records, done)
        path = f"{_path(stream)}?{query}"
        self._reads.request("GET", path, b"", timeout_s, receive)

    def close(self) -> None:
        """Close all connections."""
        self._appends.close()
        self._reads.close()


def _path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}"


def _read_offset(reply: ClientResponse) -> int:
    if reply.status == TOO_MANY_REQUESTS:
        # This status means that nothing was appended, so a retry is safe.
        raise Unavailable("the log's rate limit refused the record")
    return msgspec.json.decode(success_body(reply), type=AppendReply).offset


def _read_records(reply: ClientResponse) -> tuple[LogRecord, ...]:
    if reply.status == GONE:
        raise LogTrimmed(msgspec.json.decode(reply.body, type=TrimmedReply).first)
    decoded = msgspec.json.decode(success_body(reply), type=ReadReply)
    return tuple(LogRecord(record.offset, record.body) for record in decoded.records)
