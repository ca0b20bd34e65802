"""Replies are read the same however their bytes come, and foreign ones refused."""

import pytest

from jackdawspur.adapters._reply_reader import (
    KEPT_HEAD_BYTES,
    ClientResponse,
    ReplyReader,
    UnreadableReply,
    _read_known_head,
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
def test_a_reply_in_two_parts_is_read_whole(cut: int):
    assert read(WHOLE[:cut], WHOLE[cut:]) == ClientResponse(200, BODY)


def test_replies_of_like_heads_are_told_apart():
    others = b"x" * len(BODY)
    assert read(WHOLE).body == BODY
    assert read(WHOLE.replace(BODY, others)).body == others
    assert read(WHOLE.replace(b"200 OK", b"409 Conflict")).status == 409


def test_a_reply_in_chunks_is_read():
    assert read(CHUNKED) == ClientResponse(200, BODY)


def test_long_heads_are_not_kept():
    # Guards against a host whose memory foreign heads fill.
    kept = _read_known_head.cache_info().currsize
    padding = b"X-Padding: " + b"x" * KEPT_HEAD_BYTES + b"\r\n\r\n"
    assert read(WHOLE.replace(b"\r\n\r\n", b"\r\n" + padding)).body == BODY
    assert _read_known_head.cache_info().currsize == kept


def test_a_connection_that_is_to_be_closed_is_not_kept():
    reader = ReplyReader()
    reader.feed(WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    assert not reader.keeps_alive


@pytest.mark.parametrize(
    "data",
    [
        WHOLE + b"x",
        WHOLE.replace(b"19", b"18"),
        WHOLE.replace(b"19", b"99999999999999999999"),
        b"SSH-2.0-x\r\n\r\n",
    ],
)
def test_what_is_no_reply_is_refused(data: bytes):
    with pytest.raises(UnreadableReply):
        read(data)
