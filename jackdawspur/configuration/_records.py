"""Records of the configuration stream, and their JSON encoding."""

import hashlib
from dataclasses import dataclass, replace
from typing import Annotated, Literal

import msgspec
from pydantic import Field, TypeAdapter, ValidationError

from jackdawspur.configuration._changes import Change, Intent
from jackdawspur.configuration._document import SCHEMA_VERSION, STRICT, Configuration
from jackdawspur.configuration._errors import RecordError, SkipReason

__all__ = [
    "Confirm",
    "Envelope",
    "HistoryEntry",
    "Proposal",
    "Record",
    "Snapshot",
    "SnapshotHeader",
    "decode_envelope",
    "decode_record",
    "decode_snapshot_header",
    "encode_record",
    "new_proposal",
]

PLAN_ID_LENGTH = 16
KINDS = ("proposal", "confirm", "snapshot")


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """Plan that any host may confirm; by itself it changes nothing."""

    __pydantic_config__ = STRICT

    kind: Literal["proposal"] = "proposal"
    schema_version: Literal[SCHEMA_VERSION] = SCHEMA_VERSION
    id: str
    base: int
    operator: str
    reason: str
    at: float
    changes: tuple[Change, ...]
    allow_mass_removal: bool = False

    @property
    def plan(self) -> str:
        """Return the id of the plan."""
        return self.id


@dataclass(frozen=True, slots=True, kw_only=True)
class Confirm:
    """Put a plan into force if `base` is still current.

    Contains all changes of the plan. `at` is in seconds since 1970.
    """

    __pydantic_config__ = STRICT

    kind: Literal["confirm"] = "confirm"
    schema_version: Literal[SCHEMA_VERSION] = SCHEMA_VERSION
    id: str
    plan: str
    base: int
    operator: str
    reason: str
    at: float
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """Who changed what, when and why; `version` is the offset of the confirm."""

    __pydantic_config__ = STRICT

    version: int
    base: int
    plan: str
    operator: str
    reason: str
    at: float
    summary: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Full state after all records up to and including the offset `through`."""

    __pydantic_config__ = STRICT

    kind: Literal["snapshot"] = "snapshot"
    schema_version: Literal[SCHEMA_VERSION] = SCHEMA_VERSION
    id: str
    version: int
    through: int
    at: float
    configuration: Configuration
    history: tuple[HistoryEntry, ...] = ()


Record = Proposal | Confirm | Snapshot
_RECORD = TypeAdapter(Annotated[Record, Field(discriminator="kind")])


class Envelope(msgspec.Struct, frozen=True):
    """Fields that are the same in all schema versions, future ones included."""

    kind: str
    schema_version: int
    id: str
    base: int | None = None


class SnapshotHeader(msgspec.Struct, frozen=True):
    """Fields of a snapshot that a host needs if it already has the state."""

    version: int
    at: float


_SNAPSHOT_HEADER = msgspec.json.Decoder(SnapshotHeader)
_ENVELOPE = msgspec.json.Decoder(Envelope)
# RecursionError: a record nested too deeply must not stop the readers of all hosts.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


def decode_envelope(body: str) -> Envelope:
    """Return the fields common to all schema versions; raise `RecordError`."""
    try:
        return _ENVELOPE.decode(body)
    except DECODE_ERRORS as error:
        raise RecordError(SkipReason.UNREADABLE, str(error)) from error


def decode_snapshot_header(body: str) -> SnapshotHeader | None:
    """Return the header of a snapshot of this schema version, None for other records.

    Decoding a whole snapshot with 3,900 upstreams blocks the loop for tens of ms.
    """
    envelope = decode_envelope(body)
    if envelope.kind != "snapshot" or envelope.schema_version != SCHEMA_VERSION:
        return None
    try:
        return _SNAPSHOT_HEADER.decode(body)
    except DECODE_ERRORS as error:
        raise RecordError(SkipReason.UNREADABLE, str(error)) from error


def decode_record(body: str) -> Record:
    """Return a record of the known schema version; raise `RecordError` otherwise."""
    envelope = decode_envelope(body)
    if envelope.schema_version > SCHEMA_VERSION:
        text = f"schema version {envelope.schema_version} is newer than this program"
        raise RecordError(SkipReason.NEWER_SCHEMA, text)
    if envelope.kind not in KINDS:
        raise RecordError(SkipReason.FOREIGN, f"unknown kind {envelope.kind!r}")
    try:
        return _RECORD.validate_json(body, strict=True)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(map(str, first["loc"]))
        raise RecordError(SkipReason.UNREADABLE, f"{where}: {first['msg']}") from error


def encode_record(record: Record) -> str:
    """Return the JSON text of a record."""
    return _RECORD.dump_json(record).decode()


def new_proposal(intent: Intent, base: int, operator: str, at: float) -> Proposal:
    """Return the proposal of an intent based on a version.

    The id depends only on content and base: a plan requested again after a lost reply
    is the same plan, but the same intent on a newer base is another plan.
    """
    proposal = Proposal(
        id="",
        base=base,
        operator=operator,
        reason=intent.reason,
        at=at,
        changes=intent.changes,
        allow_mass_removal=intent.allow_mass_removal,
    )
    content = encode_record(replace(proposal, at=0.0)).encode()
    return replace(proposal, id=hashlib.sha256(content).hexdigest()[:PLAN_ID_LENGTH])
