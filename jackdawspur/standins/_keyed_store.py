"""A store of topics with keyed records, without sockets."""

import struct
from dataclasses import dataclass, field

__all__ = ["KeyedStore", "split_records"]


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class KeyedStore:
    """Topics of records in order, with the newest record of each key."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        stored = self._topics.setdefault(topic, _Topic())
        stored.records.append((key, value))
        return stored.end - 1

    def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest value of each key unless empty, and the end offset."""
        stored = self._topics.get(topic, _Topic())
        values = dict(stored.records)
        return {key: value for key, value in values.items() if value}, stored.end

    def read(self, topic: str, offset: int) -> tuple[bytes, int, int] | None:
        """Return encoded records from an offset, the end offset and the first offset.

        Return None if the offset has expired.
        """
        stored = self._topics.get(topic, _Topic())
        if offset < stored.first:
            return None
        records = stored.records[offset - stored.first :]
        return (
            b"".join(_encode_record(*item) for item in records),
            stored.end,
            stored.first,
        )

    def compact(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        stored = self._topics.get(topic)
        if stored is not None:
            values, end = self.newest(topic)
            stored.records = list(values.items())
            stored.first = end - len(stored.records)


def split_records(data: bytes) -> list[tuple[str, bytes]]:
    """Return the keys and values of the encoded records of an append."""
    records, offset = [], 0
    while offset < len(data):
        (length,) = struct.unpack_from(">I", data, offset)
        record = data[offset + 4 : offset + 4 + length]
        key_end = 1 + record[0]
        key = record[1:key_end].decode(errors="replace")
        records.append((key, record[key_end:]))
        offset += 4 + length
    return records


def _encode_record(key: str, value: bytes) -> bytes:
    encoded_key = key.encode()
    data = bytes([len(encoded_key)]) + encoded_key + value
    return struct.pack(">I", len(data)) + data
