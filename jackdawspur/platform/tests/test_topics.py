"""Bytes of the store become records, or a clear error."""

import struct

import pytest

from jackdawspur.platform._topics import UnreadableRecords, _records

HEAD = b"\0" * 16


def record(key: str, value: bytes) -> bytes:
    data = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(data)) + data


def test_the_newest_value_of_each_key_counts():
    changed, count = _records(
        HEAD + record("a", b"1") + record("b", b"") + record("a", b"2")
    )
    assert changed == {"a": b"2", "b": b""}
    assert count == 3


@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD[:5],
        HEAD + b"\0",
        HEAD + record("abc", b"x")[:-1],
        HEAD + b"\0\0\0\1\5",
    ],
)
def test_nonsense_is_an_error(data: bytes):
    with pytest.raises(UnreadableRecords):
        _records(data)
