"""Tests that bytes of the store are decoded to records or raise a clear error."""

import struct

import pytest

from jackdawspur.platform._topics import RecordsDecodeError, _decode_records

HEADER = b"\0" * 16


def record(key: str, value: bytes) -> bytes:
    data = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(data)) + data


def test_newest_value_of_each_key_is_returned():
    changed, count = _decode_records(
        HEADER + record("a", b"1") + record("b", b"") + record("a", b"2")
    )
    assert changed == {"a": b"2", "b": b""}
    assert count == 3


@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEADER[:5],
        HEADER + b"\0",
        HEADER + record("abc", b"x")[:-1],
        HEADER + b"\0\0\0\1\5",
    ],
)
def test_malformed_bytes_raise_a_decode_error(data: bytes):
    with pytest.raises(RecordsDecodeError):
        _decode_records(data)
