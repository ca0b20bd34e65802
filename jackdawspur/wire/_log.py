"""Message bodies of the log; a record is appended as the raw body of a POST."""

import msgspec

__all__ = ["AppendReply", "ReadReply", "RecordBody", "TrimmedReply"]


class AppendReply(msgspec.Struct, frozen=True):
    """Reply to an append, with the offset of the record."""

    offset: int


class RecordBody(msgspec.Struct, frozen=True):
    """One record of the log."""

    offset: int
    body: str


class ReadReply(msgspec.Struct, frozen=True):
    """Records in the order of the log; empty if the wait time has passed."""

    records: tuple[RecordBody, ...]


class TrimmedReply(msgspec.Struct, frozen=True):
    """Reply to a read of trimmed records, with the oldest offset that can be read."""

    first: int
