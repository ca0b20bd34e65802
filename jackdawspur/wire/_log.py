"""Bodies the log speaks; a record's own body travels as the body of its POST."""

import msgspec

__all__ = ["AppendReply", "ReadReply", "RecordBody", "TrimmedReply"]


class AppendReply(msgspec.Struct, frozen=True):
    """Tell the offset of an appended record."""

    offset: int


class RecordBody(msgspec.Struct, frozen=True):
    """Carry one record."""

    offset: int
    body: str


class ReadReply(msgspec.Struct, frozen=True):
    """Carry records in the log's order; none when the wait was over."""

    records: tuple[RecordBody, ...]


class TrimmedReply(msgspec.Struct, frozen=True):
    """Tell the oldest offset that can still be read."""

    first: int
