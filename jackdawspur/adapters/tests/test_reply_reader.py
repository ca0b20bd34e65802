"""Tests of parsing replies in parts, and of refusing malformed ones."""

import pytest

from jackdawspur.adapters._reply_reader import (
    MAX_CACHED_HEAD_BYTES,
    ClientResponse,
    ReplyDecodeError,
    ReplyReader,
    _read_head_cached,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
BODY = b'{"clock_ms":482113}'
WHOLE = OK + b"Content-Length: 19\r\n\r\n" + BODY
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n13\r\n" + BODY + b"\r\n0\r\n\r\n"


def read(*parts: bytes) -> ClientResponse | None:
    reader = ReplyReader()
    replies = [reader.feed(part) for part in parts]
    assert not any(replies[:-1])
    return replies[-1]


@pytest.mark.parametrize("cut", range(1, len(WHOLE)))
def test_a_reply_in_two_parts_is_read_completely(cut: int):
    assert read(WHOLE[:cut], WHOLE[cut:]) == ClientResponse(200, BODY)


def test_replies_with_equal_heads_keep_their_own_bodies():
    other_body = b"x" * len(BODY)
    assert read(WHOLE).body == BODY
    assert read(WHOLE.replace(BODY, other_body)).body == other_body
    assert read(WHOLE.replace(b"200 OK", b"409 Conflict")).status == 409


def test_a_chunked_reply_is_read():
    assert read(CHUNKED) == ClientResponse(200, BODY)


def test_long_heads_are_not_cached():
    # Guards against unbounded memory use by long heads of unexpected replies.
    size = _read_head_cached.cache_info().currsize
    padding = b"X-Padding: " + b"x" * MAX_CACHED_HEAD_BYTES + b"\r\n\r\n"
    assert read(WHOLE.replace(b"\r\n\r\n", b"\r\n" + padding)).body == BODY
    assert _read_head_cached.cache_info().currsize == size


def test_a_connection_marked_as_closing_is_not_reused():
    reader = ReplyReader()
    reader.feed(WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    assert not reader.keep_alive


@pytest.mark.parametrize(
    "data",
    [
        WHOLE + b"x",
        WHOLE.replace(b"19", b"18"),
        WHOLE.replace(b"19", b"99999999999999999999"),
        b"SSH-2.0-x\r\n\r\n",
    ],
)
def test_malformed_replies_are_refused(data: bytes):
    with pytest.raises(ReplyDecodeError):
        read(data)
