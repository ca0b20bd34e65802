"""Requests out of the bytes of one connection, by circuits.web's parser."""

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
REQUESTS_ONLY = 0
END_OF_HEAD = b"\r\n\r\n"
HTTP_1 = 1


class RequestError(JackdawspurError):
    """Raise when bytes are no request that is taken here; names the refusal's code."""

    def __init__(self, text: str, code: FailureCode = FailureCode.INVALID) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Carry one whole request."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class _Head:
    parser: HttpParser
    length: int


class RequestReader:
    """Collect what a connection sends and cut it into requests.

    circuits' parser is fed whole heads only: it never ends a first line whose CR and
    LF come in two reads, so such a caller would wait in vain and its bytes be kept.
    It takes pipelined requests for a part of the body, so bodies are cut here.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._searched = 0
        self._head: _Head | None = None
        self._continue_sent = False

    @property
    def buffered(self) -> int:
        """Return the number of bytes not yet taken."""
        return len(self._buffer)

    @property
    def partial(self) -> bool:
        """Tell whether something of a next request has come."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> None:
        """Add bytes from the connection."""
        self._buffer += data

    def take(self) -> HttpRequest | None:
        """Return the next whole request; raise `RequestError`."""
        if self._head is None:
            self._head = self._read_head()
        head = self._head
        if head is None or len(self._buffer) < head.length:
            return None
        body = bytes(self._buffer[: head.length])
        del self._buffer[: head.length]
        self._head = None
        self._continue_sent = False
        return _request(head.parser, body)

    def wants_continue(self) -> bool:
        """Tell, once a request, whether its sender waits before it sends the body."""
        if self._head is None or self._continue_sent or self._buffer:
            return False
        expected = self._head.parser.get_headers().get("Expect", "")
        self._continue_sent = expected.lower() == "100-continue"
        return self._continue_sent

    def _read_head(self) -> _Head | None:
        end = self._buffer.find(END_OF_HEAD, self._searched)
        if max(end, len(self._buffer) if end < 0 else 0) > MAX_HEAD_BYTES:
            text = f"a request's head may have {MAX_HEAD_BYTES} bytes at most"
            raise RequestError(text, FailureCode.TOO_LARGE)
        if end < 0:
            # Searching all of it again for each byte of a slow sender costs too much.
            self._searched = max(0, len(self._buffer) - len(END_OF_HEAD) + 1)
            return None
        end += len(END_OF_HEAD)
        parser = _parse(bytes(self._buffer[:end]))
        del self._buffer[:end]
        self._searched = 0
        return _Head(parser, _body_length(parser.get_headers(), self._max_body_bytes))


def _parse(head: bytes) -> HttpParser:
    parser = HttpParser(REQUESTS_ONLY)
    try:
        parser.execute(head, len(head))
    except Exception as error:
        # On foreign bytes the parser raises whatever its regular expressions and
        # decoders run into; circuits would drop it and the caller would wait.
        raise RequestError("the HTTP request could not be read") from error
    if parser.errno is not None or not parser.is_headers_complete():
        raise RequestError(f"the HTTP request could not be read: {parser.errstr}")
    if parser.get_version()[0] != HTTP_1:
        raise RequestError("only HTTP/1.0 and HTTP/1.1 are spoken here")
    if parser.get_version() > (1, 0) and not parser.get_headers().get("Host"):
        raise RequestError("a Host header is needed")
    return parser


def _body_length(headers: Headers, most: int) -> int:
    if headers.get("Transfer-Encoding"):
        raise RequestError("Content-Length is needed; chunked bodies are not taken")
    text = headers.get("Content-Length", "0").strip()
    # int() also takes signs, underscores and other scripts' digits.
    if not (text.isascii() and text.isdigit()):
        raise RequestError("Content-Length: a whole number of bytes expected")
    if len(text) > len(str(most)) or int(text) > most:
        text = f"a request's body may have {most} bytes at most"
        raise RequestError(text, FailureCode.TOO_LARGE)
    return int(text)


def _request(parser: HttpParser, body: bytes) -> HttpRequest:
    return HttpRequest(
        parser.get_method(),
        parser.get_path(),
        parser.get_query_string(),
        parser.get_headers(),
        body,
        parser.should_keep_alive(),
    )
