"""Validation of documents and intents; reports all errors at once with their paths."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
from pydantic import TypeAdapter, ValidationError

from jackdawspur.configuration._changes import (
    SECTIONS,
    Change,
    Intent,
    PutZone,
    apply_changes,
    key_of,
)
from jackdawspur.configuration._document import (
    Configuration,
    CustomerEntry,
    EntryHostEntry,
    OperatorEntry,
    Right,
    UpstreamEntry,
    ZoneEntry,
)
from jackdawspur.configuration._errors import FieldError, InvalidConfiguration

__all__ = ["check_references", "load_configuration", "load_intent"]

_DOCUMENT = TypeAdapter(Configuration)
_INTENT = TypeAdapter(Intent)
_CHANGE = TypeAdapter(Change)
_ENTRIES = {
    section: TypeAdapter(entry_type)
    for section, entry_type in zip(
        SECTIONS,
        (CustomerEntry, OperatorEntry, ZoneEntry, EntryHostEntry, UpstreamEntry),
        strict=True,
    )
}


def load_configuration(text: str | bytes) -> Configuration:
    """Return the document in a JSON text; raise `InvalidConfiguration` on errors."""
    try:
        document = _DOCUMENT.validate_json(text, strict=True)
    except ValidationError as error:
        partial, zones = _valid_entries(text)
        errors = (
            *field_errors(error),
            *_check_duplicates(partial),
            *check_references(partial, zones),
        )
        raise InvalidConfiguration(errors) from error
    if errors := (*_check_duplicates(document), *check_references(document)):
        raise InvalidConfiguration(errors)
    return document


def load_intent(text: str | bytes, current: Configuration) -> Intent:
    """Return the intent in a JSON text; raise `InvalidConfiguration` on errors."""
    try:
        intent = _INTENT.validate_json(text, strict=True)
    except ValidationError as error:
        changes, zones = _valid_changes(text)
        after, _ = apply_changes(current, changes)
        errors = *field_errors(error), *check_references(after, zones)
        raise InvalidConfiguration(errors) from error
    after, inapplicable = apply_changes(current, intent.changes)
    if errors := (*inapplicable, *check_references(after)):
        raise InvalidConfiguration(errors)
    return intent


def check_references(
    document: Configuration, extra_zones: Iterable[str] = ()
) -> Iterator[FieldError]:
    """Yield errors that concern several entries of a document.

    They are references to unknown zones, duplicate addresses, tokens and job
    classes, and a lack of operators. `extra_zones` are names of zones whose entries
    are invalid for other reasons.
    """
    yield from _check_zones(document, extra_zones)
    yield from _check_addresses(document)
    yield from _check_tokens(document)
    for customer in document.customers:
        names = Counter(job_class.name for job_class in customer.classes)
        for name, count in names.items():
            if count > 1:
                path = f"customers[{customer.name}].classes[{name}]"
                yield FieldError(path, f"occurs {count} times")
    if not any({Right.PLAN, Right.CONFIRM} <= {*o.rights} for o in document.operators):
        yield FieldError(
            "operators", "no operator has the rights to plan and to confirm"
        )


def _check_duplicates(document: Configuration) -> Iterator[FieldError]:
    for section in SECTIONS:
        keys = Counter(key_of(entry) for entry in getattr(document, section))
        for key, count in keys.items():
            if count > 1:
                yield FieldError(f"{section}[{key}]", f"occurs {count} times")


def _check_zones(
    document: Configuration, extra_zones: Iterable[str]
) -> Iterator[FieldError]:
    zones = {zone.name for zone in document.zones}.union(extra_zones)
    for section in ("entry_hosts", "upstreams"):
        for entry in getattr(document, section):
            if entry.zone not in zones:
                path = f"{section}[{key_of(entry)}].zone"
                yield FieldError(path, f"unknown zone {entry.zone!r}")


def _check_addresses(document: Configuration) -> Iterator[FieldError]:
    hosts = document.entry_hosts
    addresses = [upstream.address for upstream in document.upstreams]
    addresses += [host.http for host in hosts] + [host.link for host in hosts]
    # Called for each change from the log, so paths are computed only for errors.
    if len(set(addresses)) == len(addresses):
        return
    owners: dict[str, str] = {}
    for path, address in _addresses(document):
        first = owners.setdefault(address, path)
        if first is not path:
            yield FieldError(path, f"{address} is also used by {first}")


def _addresses(document: Configuration) -> Iterator[tuple[str, str]]:
    for host in document.entry_hosts:
        yield f"entry_hosts[{host.zone}.{host.name}].http", host.http
        yield f"entry_hosts[{host.zone}.{host.name}].link", host.link
    for upstream in document.upstreams:
        path = f"upstreams[{upstream.zone}.{upstream.name}].address"
        yield path, upstream.address


def _check_tokens(document: Configuration) -> Iterator[FieldError]:
    # With a shared token one customer or operator could act as the other.
    owners: dict[str, str] = {}
    for section in ("customers", "operators"):
        for entry in getattr(document, section):
            for token in entry.token_sha256:
                path = f"{section}[{entry.name}].token_sha256"
                first = owners.setdefault(token, path)
                if first is not path:
                    yield FieldError(path, f"a token is also used by {first}")


def field_errors(error: ValidationError) -> tuple[FieldError, ...]:
    """Return pydantic's errors as paths and messages, without the input."""
    found = error.errors(include_input=False, include_url=False)
    parents = {f["loc"][:depth] for f in found for depth in range(len(f["loc"]))}
    # Pydantic drops invalid items of a list, then reports it as too short.
    return tuple(
        FieldError(_path(f["loc"]), f["msg"])
        for f in found
        if f["type"] != "too_short" or f["loc"] not in parents
    )


def _path(location: tuple[int | str, ...]) -> str:
    path = ""
    for index, part in enumerate(location):
        # Pydantic adds the type of change after its index; JSON has no such level.
        if index == 2 and location[0] == "changes":
            continue
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "$"


def _decode_object(text: str | bytes) -> dict[str, Any]:
    try:
        decoded = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        # RecursionError: nested too deeply. Uncaught, the operator would get no reply.
        return {}
    return decoded if isinstance(decoded, dict) else {}


def _partition_valid(adapter: TypeAdapter, items: Any) -> tuple[list, list]:
    valid, invalid = [], []
    for raw in items if isinstance(items, list) else ():
        try:
            valid.append(adapter.validate_json(msgspec.json.encode(raw), strict=True))
        except ValidationError:
            invalid.append(raw)
    return valid, invalid


def _names(items: Iterable[Any]) -> tuple[str, ...]:
    return tuple(str(raw.get("name")) for raw in items if isinstance(raw, dict))


def _valid_entries(text: str | bytes) -> tuple[Configuration, tuple[str, ...]]:
    raw = _decode_object(text)
    sections, invalid_zones = {}, ()
    for section, adapter in _ENTRIES.items():
        valid, invalid = _partition_valid(adapter, raw.get(section))
        sections[section] = tuple(valid)
        if section == "zones":
            invalid_zones = _names(invalid)
    return Configuration(**sections), invalid_zones


def _valid_changes(text: str | bytes) -> tuple[list[Change], tuple[str, ...]]:
    valid, invalid = _partition_valid(_CHANGE, _decode_object(text).get("changes"))
    put_zone_op = PutZone.__dataclass_fields__["op"].default
    puts = (c for c in invalid if isinstance(c, dict) and c.get("op") == put_zone_op)
    return valid, _names(put.get("entry") for put in puts)
