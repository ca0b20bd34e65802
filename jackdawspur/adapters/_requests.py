"""Incremental parsing of the HTTP requests of one connection."""

import math
from collections import deque
from dataclasses import dataclass

from circuits.web.headers import Headers
from circuits.web.parsers import HttpParser

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.model import FailureCode

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "HttpRequest",
    "RequestError",
    "RequestReader",
]

MAX_BODY_BYTES = 1_048_576
MAX_HEAD_BYTES = 65_536
# Value for the parameter `kind` of `HttpParser`.
REQUESTS_ONLY = 0
END_OF_HEAD = b"\r\n\r\n"
# Precision of the times at which bytes were read.
READ_RESOLUTION_S = 0.02
HTTP_1 = 1
HTTP_1_0 = (1, 0)


class RequestError(JackdawspurError):
    """Raised when bytes are not an accepted request; `code` is sent in the refusal."""

    def __init__(self, text: str, code: FailureCode = FailureCode.INVALID) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete HTTP request.

    `accepts_interim` is set if its caller must accept interim responses: HTTP/1.0 has
    none. `received_at` is when its last byte was read.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    keep_alive: bool
    accepts_interim: bool
    received_at: float


@dataclass(frozen=True, slots=True)
class _Head:
    parser: HttpParser
    length: int


class RequestReader:
    """Splits the bytes of a connection into requests.

    The parser of circuits is fed complete heads only: if the CR and LF of the first
    line come in two reads, it never finds the line's end, so the caller would get no
    reply and its bytes would stay in memory. The parser also treats pipelined requests
    as part of the body, so bodies are split off here.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._buffer = bytearray()
        self._reads = _ReadTimes()
        self._searched_until = 0
        self._head: _Head | None = None
        self._continue_sent = False

    @property
    def buffered(self) -> int:
        """Return the number of bytes not yet consumed."""
        return len(self._buffer)

    @property
    def partial(self) -> bool:
        """Return whether a part of the next request has arrived."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes, now: float) -> None:
        """Add bytes that were read from the connection now."""
        self._buffer += data
        self._reads.add(len(data), now)

    def next_request(self) -> HttpRequest | None:
        """Remove and return the next request, or None if it isn't complete.

        Raise `RequestError` if it isn't accepted.
        """
        if self._head is None:
            self._head = self._read_head()
        head = self._head
        if head is None or len(self._buffer) < head.length:
            return None
        body = self._take(head.length)
        self._head = None
        self._continue_sent = False
        return _build_request(head.parser, body, self._reads.taken_at)

    def needs_continue(self) -> bool:
        """Return whether to send 100 Continue; true at most once per request."""
        if self._head is None or self._continue_sent or self._buffer:
            return False
        expected = self._head.parser.get_headers().get("Expect", "")
        self._continue_sent = expected.lower() == "100-continue"
        return self._continue_sent

    def _read_head(self) -> _Head | None:
        end = self._buffer.find(END_OF_HEAD, self._searched_until)
        if max(end, len(self._buffer) if end < 0 else 0) > self._max_head_bytes:
            text = (
                f"the head of a request may have at most {self._max_head_bytes} bytes"
            )
            raise RequestError(text, FailureCode.TOO_LARGE)
        if end < 0:
            # Searching the whole buffer again for each byte of a slow sender is costly.
            self._searched_until = max(0, len(self._buffer) - len(END_OF_HEAD) + 1)
            return None
        end += len(END_OF_HEAD)
        parser = _parse(self._take(end))
        self._searched_until = 0
        return _Head(parser, _body_length(parser.get_headers(), self._max_body_bytes))

    def _take(self, length: int) -> bytes:
        """Remove and return the first bytes of the buffer."""
        taken = bytes(self._buffer[:length])
        del self._buffer[:length]
        self._reads.take(length)
        return taken


class _ReadTimes:
    """The times at which the bytes of a buffer were read.

    A request may wait in the buffer for the answer to the one before it.
    """

    def __init__(self) -> None:
        # Pairs of the number of bytes read until then, and the time of the read.
        self._reads: deque[tuple[int, float]] = deque()
        self._added = self._taken = 0
        self.taken_at = -math.inf

    def add(self, length: int, now: float) -> None:
        """Add bytes; reads that follow each other closely count as the first of them.

        Otherwise a client that sends single bytes would use much memory.
        """
        self._added += length
        if self._reads and now - self._reads[-1][1] < READ_RESOLUTION_S:
            now = self._reads.pop()[1]
        self._reads.append((self._added, now))

    def take(self, length: int) -> None:
        """Remove bytes, and set `taken_at` to when the last of them was read."""
        self._taken += length
        while self._reads and self._reads[0][0] < self._taken:
            self._reads.popleft()
        if length:
            self.taken_at = self._reads[0][1]


def _parse(head: bytes) -> HttpParser:
    parser = HttpParser(REQUESTS_ONLY)
    try:
        parser.execute(head, len(head))
    except Exception as error:
        # On malformed input the parser raises any exception of its regular expressions
        # and decoders; circuits would drop it, and no reply would be sent.
        raise RequestError("the HTTP request could not be read") from error
    if parser.errno is not None or not parser.is_headers_complete():
        raise RequestError(f"the HTTP request could not be read: {parser.errstr}")
    if parser.get_version()[0] != HTTP_1:
        raise RequestError("only HTTP/1.0 and HTTP/1.1 are supported")
    if parser.get_version() > HTTP_1_0 and not parser.get_headers().get("Host"):
        raise RequestError("a Host header is required")
    return parser


def _body_length(headers: Headers, max_bytes: int) -> int:
    if headers.get("Transfer-Encoding"):
        raise RequestError("Content-Length is required; chunked bodies are unsupported")
    text = headers.get("Content-Length", "0").strip()
    # int() also accepts signs, underscores and the digits of other scripts.
    if not (text.isascii() and text.isdigit()):
        raise RequestError("Content-Length: a whole number of bytes expected")
    if len(text) > len(str(max_bytes)) or int(text) > max_bytes:
        text = f"the body of a request may have at most {max_bytes} bytes"
        raise RequestError(text, FailureCode.TOO_LARGE)
    return int(text)


def _build_request(parser: HttpParser, body: bytes, received_at: float) -> HttpRequest:
    return HttpRequest(
        parser.get_method(),
        parser.get_path(),
        parser.get_query_string(),
        parser.get_headers(),
        body,
        parser.should_keep_alive(),
        parser.get_version() > HTTP_1_0,
        received_at,
    )
