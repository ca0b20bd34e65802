"""Incremental parsing of one HTTP reply with the parser of circuits.web."""

from dataclasses import dataclass
from functools import lru_cache

from circuits.web.parsers import HttpParser

from jackdawspur.exceptions import JackdawspurError

__all__ = ["ClientResponse", "ReplyReader", "ReplyDecodeError"]

MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_HEAD_BYTES = 65536
# Value for the parameter `kind` of `HttpParser`.
RESPONSES_ONLY = 1
END_OF_HEAD = b"\r\n\r\n"
# Heads are cached: those of upstreams differ in little more than the length of the
# body, and parsing them takes a tenth of the processor time of the leader.
MAX_CACHED_HEADS = 1024
MAX_CACHED_HEAD_BYTES = 1024


class ReplyDecodeError(JackdawspurError):
    """Raised when bytes are not an HTTP reply, or one beyond the size limit."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A complete HTTP reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Head:
    """A parsed head; `length` is None if only the parser can find the body's end."""

    status: int
    length: int | None
    keep_alive: bool


class ReplyReader:
    """Assembles one reply from the parts in which it arrives.

    The parser of circuits is fed complete heads only: if the CR and LF of the first
    line come in two reads, it never finds the line's end, and the reply seems lost.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._head: _Head | None = None
        self._body_start = 0
        self._parser: HttpParser | None = None

    @property
    def keep_alive(self) -> bool:
        """Return whether the connection can be reused."""
        if self._parser is not None:
            return self._parser.should_keep_alive()
        return self._head is not None and self._head.keep_alive

    def feed(self, data: bytes) -> ClientResponse | None:
        """Process a part; return the reply once it is complete, else None.

        Raise `ReplyDecodeError` if it is malformed or too large.
        """
        self._data += data
        if len(self._data) > MAX_REPLY_BYTES:
            raise ReplyDecodeError("the reply exceeds the size limit")
        if self._parser is not None:
            return _parse(self._parser, data)
        if self._head is None and not self._read_head():
            return None
        if self._head.length is None:
            self._parser = HttpParser(RESPONSES_ONLY)
            return _parse(self._parser, bytes(self._data))
        return self._read_body()

    def _read_head(self) -> bool:
        end = self._data.find(END_OF_HEAD)
        if end < 0:
            if len(self._data) > MAX_HEAD_BYTES:
                raise ReplyDecodeError("the head of the reply exceeds the size limit")
            return False
        self._body_start = end + len(END_OF_HEAD)
        cacheable = self._body_start <= MAX_CACHED_HEAD_BYTES
        parse_head = _read_head_cached if cacheable else _read_head
        self._head = parse_head(bytes(self._data[: self._body_start]))
        return True

    def _read_body(self) -> ClientResponse | None:
        size = len(self._data) - self._body_start
        if size > self._head.length:
            raise ReplyDecodeError("the body is longer than declared")
        if size < self._head.length:
            return None
        return ClientResponse(self._head.status, bytes(self._data[self._body_start :]))


def _read_head(head: bytes) -> _Head:
    parser = HttpParser(RESPONSES_ONLY)
    _execute(parser, head)
    length = _declared_length(parser)
    return _Head(parser.get_status_code(), length, parser.should_keep_alive())


_read_head_cached = lru_cache(maxsize=MAX_CACHED_HEADS)(_read_head)


def _declared_length(parser: HttpParser) -> int | None:
    headers = parser.get_headers()
    text = headers.get("Content-Length", "")
    has_plain_length = (
        text.isascii() and text.isdigit() and not headers.get("Transfer-Encoding")
    )
    if not has_plain_length or headers.get("Content-Encoding"):
        return None
    if len(text) > len(str(MAX_REPLY_BYTES)) or int(text) > MAX_REPLY_BYTES:
        raise ReplyDecodeError("the reply exceeds the size limit")
    return int(text)


def _execute(parser: HttpParser, data: bytes) -> None:
    try:
        parser.execute(data, len(data))
    except Exception as error:
        # On malformed input the parser raises any exception of its regular expressions,
        # decoders and arithmetic; each means that the data isn't HTTP.
        raise ReplyDecodeError(str(error)) from error
    if parser.errno is not None:
        raise ReplyDecodeError(str(parser.errstr))


def _parse(parser: HttpParser, data: bytes) -> ClientResponse | None:
    """Feed the parser; return the reply if it is complete, else None."""
    _execute(parser, data)
    if not parser.is_message_complete():
        return None
    body = parser.recv_body()
    if parser.get_headers().get("Content-Length", str(len(body))) != str(len(body)):
        # The parser treats all bytes received so far as part of the body.
        raise ReplyDecodeError("the body is longer than declared")
    return ClientResponse(parser.get_status_code(), body)
