"""One reply out of the bytes of a connection, by circuits.web's parser."""

from dataclasses import dataclass
from functools import lru_cache

from circuits.web.parsers import HttpParser

from jackdawspur.exceptions import JackdawspurError

__all__ = ["ClientResponse", "ReplyReader", "UnreadableReply"]

MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_HEAD_BYTES = 65536
RESPONSES_ONLY = 1
END_OF_HEAD = b"\r\n\r\n"
# Upstreams' heads differ by little more than the length of the body, and parsing one
# takes a tenth of what the leading host's processor does.
HEADS_KEPT = 1024
KEPT_HEAD_BYTES = 1024


class UnreadableReply(JackdawspurError):
    """Raise when bytes are no reply, or a longer one than is taken."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Carry one complete reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Head:
    """Keep what a head says; `length` is None where only the parser can tell."""

    status: int
    length: int | None
    keeps_alive: bool


class ReplyReader:
    """Collect the parts of one reply.

    circuits' parser is fed whole heads only: it never ends a first line whose CR and LF
    come in two reads, and the reply would look lost.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._head: _Head | None = None
        self._body_at = 0
        self._parser: HttpParser | None = None

    @property
    def keeps_alive(self) -> bool:
        """Tell whether the connection can be used again."""
        if self._parser is not None:
            return self._parser.should_keep_alive()
        return self._head is not None and self._head.keeps_alive

    def feed(self, data: bytes) -> ClientResponse | None:
        """Take a part; return the reply once it is complete.

        Errors: `UnreadableReply`.
        """
        self._data += data
        if len(self._data) > MAX_REPLY_BYTES:
            raise UnreadableReply("longer than is taken")
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
                raise UnreadableReply("its head has no end")
            return False
        self._body_at = end + len(END_OF_HEAD)
        short = self._body_at <= KEPT_HEAD_BYTES
        read = _read_known_head if short else _read_head
        self._head = read(bytes(self._data[: self._body_at]))
        return True

    def _read_body(self) -> ClientResponse | None:
        size = len(self._data) - self._body_at
        if size > self._head.length:
            raise UnreadableReply("more came than was declared")
        if size < self._head.length:
            return None
        return ClientResponse(self._head.status, bytes(self._data[self._body_at :]))


def _read_head(head: bytes) -> _Head:
    parser = HttpParser(RESPONSES_ONLY)
    _execute(parser, head)
    length = _length(parser)
    return _Head(parser.get_status_code(), length, parser.should_keep_alive())


_read_known_head = lru_cache(maxsize=HEADS_KEPT)(_read_head)


def _length(parser: HttpParser) -> int | None:
    headers = parser.get_headers()
    text = headers.get("Content-Length", "")
    plain = text.isascii() and text.isdigit() and not headers.get("Transfer-Encoding")
    if not plain or headers.get("Content-Encoding"):
        return None
    if len(text) > len(str(MAX_REPLY_BYTES)) or int(text) > MAX_REPLY_BYTES:
        raise UnreadableReply("longer than is taken")
    return int(text)


def _execute(parser: HttpParser, data: bytes) -> None:
    try:
        parser.execute(data, len(data))
    except Exception as error:
        # On foreign bytes the parser raises whatever its regular expressions,
        # decoders and sums run into; any of them means that this isn't HTTP.
        raise UnreadableReply(str(error)) from error
    if parser.errno is not None:
        raise UnreadableReply(str(parser.errstr))


def _parse(parser: HttpParser, data: bytes) -> ClientResponse | None:
    """Feed the parser; return a complete reply or None."""
    _execute(parser, data)
    if not parser.is_message_complete():
        return None
    body = parser.recv_body()
    if parser.get_headers().get("Content-Length", str(len(body))) != str(len(body)):
        # The parser took all that came for the body.
        raise UnreadableReply("more came than was declared")
    return ClientResponse(parser.get_status_code(), body)
