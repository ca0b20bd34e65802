"""A store of keyed topics, without sockets."""

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
    """Keep records in order and the newest of each key."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        kept = self._topics.setdefault(topic, _Topic())
        kept.records.append((key, value))
        return kept.end - 1

    def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest value of each key that has one, and the end."""
        kept = self._topics.get(topic, _Topic())
        values = dict(kept.records)
        return {key: value for key, value in values.items() if value}, kept.end

    def read(self, topic: str, offset: int) -> tuple[bytes, int, int] | None:
        """Return records from an offset, the end and the first; None when expired."""
        kept = self._topics.get(topic, _Topic())
        if offset < kept.first:
            return None
        records = kept.records[offset - kept.first :]
        return b"".join(_record(*one) for one in records), kept.end, kept.first

    def forget(self, topic: str) -> None:
        """Expire all records but the newest of each key."""
        kept = self._topics.get(topic)
        if kept is not None:
            values, end = self.newest(topic)
            kept.records = list(values.items())
            kept.first = end - len(kept.records)


def split_records(data: bytes) -> list[tuple[str, bytes]]:
    """Return keys and values of the records of an append."""
    found, at = [], 0
    while at < len(data):
        (length,) = struct.unpack_from(">I", data, at)
        record = data[at + 4 : at + 4 + length]
        key_end = 1 + record[0]
        found.append((record[1:key_end].decode(), record[key_end:]))
        at += 4 + length
    return found


def _record(key: str, value: bytes) -> bytes:
    data = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(data)) + data
