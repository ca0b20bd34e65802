"""Validate documents and intents; report every fault at once with its path."""

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
    section: TypeAdapter(kind)
    for section, kind in zip(
        SECTIONS,
        (CustomerEntry, OperatorEntry, ZoneEntry, EntryHostEntry, UpstreamEntry),
        strict=True,
    )
}


def load_configuration(text: str | bytes) -> Configuration:
    """Return the document in a JSON text; raise `InvalidConfiguration`."""
    try:
        document = _DOCUMENT.validate_json(text, strict=True)
    except ValidationError as error:
        partial, zones = _readable_entries(text)
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
    """Return the intent in a JSON text; raise `InvalidConfiguration`."""
    try:
        intent = _INTENT.validate_json(text, strict=True)
    except ValidationError as error:
        changes, zones = _readable_changes(text)
        after, _ = apply_changes(current, changes)
        errors = *field_errors(error), *check_references(after, zones)
        raise InvalidConfiguration(errors) from error
    after, impossible = apply_changes(current, intent.changes)
    if errors := (*impossible, *check_references(after)):
        raise InvalidConfiguration(errors)
    return intent


def check_references(
    document: Configuration, more_zones: Iterable[str] = ()
) -> Iterator[FieldError]:
    """Yield references to unknown zones, things named twice, a lack of operators.

    `more_zones` are names of zones whose entries are faulty for other reasons.
    """
    yield from _check_zones(document, more_zones)
    yield from _check_addresses(document)
    yield from _check_tokens(document)
    for customer in document.customers:
        names = Counter(job_class.name for job_class in customer.classes)
        for name, count in names.items():
            if count > 1:
                path = f"customers[{customer.name}].classes[{name}]"
                yield FieldError(path, f"stands {count} times")
    if not any({Right.PLAN, Right.CONFIRM} <= {*o.rights} for o in document.operators):
        yield FieldError("operators", "nobody may both plan and confirm")


def _check_duplicates(document: Configuration) -> Iterator[FieldError]:
    for section in SECTIONS:
        keys = Counter(key_of(entry) for entry in getattr(document, section))
        for key, count in keys.items():
            if count > 1:
                yield FieldError(f"{section}[{key}]", f"stands {count} times")


def _check_zones(
    document: Configuration, more_zones: Iterable[str]
) -> Iterator[FieldError]:
    zones = {zone.name for zone in document.zones}.union(more_zones)
    for section in ("entry_hosts", "upstreams"):
        for entry in getattr(document, section):
            if entry.zone not in zones:
                path = f"{section}[{key_of(entry)}].zone"
                yield FieldError(path, f"unknown zone {entry.zone!r}")


def _check_addresses(document: Configuration) -> Iterator[FieldError]:
    hosts = document.entry_hosts
    addresses = [upstream.address for upstream in document.upstreams]
    addresses += [host.http for host in hosts] + [host.link for host in hosts]
    # The fold comes here with every change: paths are worked out only for faults.
    if len(set(addresses)) == len(addresses):
        return
    owners: dict[str, str] = {}
    for path, address in _addresses(document):
        first = owners.setdefault(address, path)
        if first is not path:
            yield FieldError(path, f"{address} is also {first}")


def _addresses(document: Configuration) -> Iterator[tuple[str, str]]:
    for host in document.entry_hosts:
        yield f"entry_hosts[{host.zone}.{host.name}].http", host.http
        yield f"entry_hosts[{host.zone}.{host.name}].link", host.link
    for upstream in document.upstreams:
        path = f"upstreams[{upstream.zone}.{upstream.name}].address"
        yield path, upstream.address


def _check_tokens(document: Configuration) -> Iterator[FieldError]:
    # A token that two names share would let one act as the other.
    owners: dict[str, str] = {}
    for section in ("customers", "operators"):
        for entry in getattr(document, section):
            for token in entry.token_sha256:
                path = f"{section}[{entry.name}].token_sha256"
                first = owners.setdefault(token, path)
                if first is not path:
                    yield FieldError(path, f"a token also stands at {first}")


def field_errors(error: ValidationError) -> tuple[FieldError, ...]:
    """Return pydantic's findings as paths and messages, without the input."""
    found = error.errors(include_input=False, include_url=False)
    parents = {f["loc"][:depth] for f in found for depth in range(len(f["loc"]))}
    # A list whose faulty items were left out also counts as too short.
    return tuple(
        FieldError(_path(f["loc"]), f["msg"])
        for f in found
        if f["type"] != "too_short" or f["loc"] not in parents
    )


def _path(location: tuple[int | str, ...]) -> str:
    path = ""
    for index, part in enumerate(location):
        # Pydantic names the kind of change after its number; JSON has no such level.
        if index == 2 and location[0] == "changes":
            continue
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "$"


def _decode_object(text: str | bytes) -> dict[str, Any]:
    try:
        decoded = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        # Nested too deeply; without this the operator's call would get no reply.
        return {}
    return decoded if isinstance(decoded, dict) else {}


def _readable(adapter: TypeAdapter, raws: Any) -> tuple[list, list]:
    good, bad = [], []
    for raw in raws if isinstance(raws, list) else ():
        try:
            good.append(adapter.validate_json(msgspec.json.encode(raw), strict=True))
        except ValidationError:
            bad.append(raw)
    return good, bad


def _names(raws: Iterable[Any]) -> tuple[str, ...]:
    return tuple(str(raw.get("name")) for raw in raws if isinstance(raw, dict))


def _readable_entries(text: str | bytes) -> tuple[Configuration, tuple[str, ...]]:
    raw = _decode_object(text)
    sections, bad_zones = {}, ()
    for section, adapter in _ENTRIES.items():
        good, bad = _readable(adapter, raw.get(section))
        sections[section] = tuple(good)
        if section == "zones":
            bad_zones = _names(bad)
    return Configuration(**sections), bad_zones


def _readable_changes(text: str | bytes) -> tuple[list[Change], tuple[str, ...]]:
    good, bad = _readable(_CHANGE, _decode_object(text).get("changes"))
    put_zone = PutZone.__dataclass_fields__["op"].default
    puts = (c for c in bad if isinstance(c, dict) and c.get("op") == put_zone)
    return good, _names(put.get("entry") for put in puts)
