"""Changes of the configuration; an intent is a list of them."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Annotated, Literal

from pydantic import Field

from jackdawspur.configuration._document import (
    SCHEMA_VERSION,
    STRICT,
    Configuration,
    CustomerEntry,
    EntryHostEntry,
    Name,
    OperatorEntry,
    Policies,
    UpstreamEntry,
    ZoneEntry,
)
from jackdawspur.configuration._errors import FieldError

__all__ = [
    "SECTIONS",
    "Change",
    "Entry",
    "Intent",
    "Key",
    "Put",
    "Remove",
    "Section",
    "SetPolicies",
    "apply_changes",
    "changes_between",
    "key_of",
]

MAX_CHANGES = 25_000

Section = Literal["customers", "operators", "zones", "entry_hosts", "upstreams"]
SECTIONS: tuple[Section, ...] = (
    "customers",
    "operators",
    "zones",
    "entry_hosts",
    "upstreams",
)
Entry = CustomerEntry | OperatorEntry | ZoneEntry | EntryHostEntry | UpstreamEntry
# `zone.name` for hosts and upstreams, else the name; unique in its section.
Key = str


@dataclass(frozen=True, slots=True, kw_only=True)
class PutCustomer:
    """Add or replace a customer."""

    __pydantic_config__ = STRICT

    op: Literal["put_customer"] = "put_customer"
    entry: CustomerEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class PutOperator:
    """Add or replace an operator."""

    __pydantic_config__ = STRICT

    op: Literal["put_operator"] = "put_operator"
    entry: OperatorEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class PutZone:
    """Add or replace an availability zone."""

    __pydantic_config__ = STRICT

    op: Literal["put_zone"] = "put_zone"
    entry: ZoneEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class PutEntryHost:
    """Add or replace an entry host."""

    __pydantic_config__ = STRICT

    op: Literal["put_entry_host"] = "put_entry_host"
    entry: EntryHostEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class PutUpstream:
    """Add or replace an upstream."""

    __pydantic_config__ = STRICT

    op: Literal["put_upstream"] = "put_upstream"
    entry: UpstreamEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Remove one object; `zone` is empty if the name alone is unique."""

    __pydantic_config__ = STRICT

    op: Literal["remove"] = "remove"
    section: Section
    name: Name
    zone: Name | Literal[""] = ""

    @property
    def key(self) -> Key:
        """Return the object's key in its section."""
        return f"{self.zone}.{self.name}" if self.zone else self.name


@dataclass(frozen=True, slots=True, kw_only=True)
class SetPolicies:
    """Replace the policies."""

    __pydantic_config__ = STRICT

    op: Literal["set_policies"] = "set_policies"
    policies: Policies


Put = PutCustomer | PutOperator | PutZone | PutEntryHost | PutUpstream
Change = Annotated[Put | Remove | SetPolicies, Field(discriminator="op")]

_PUT_BY_SECTION: dict[Section, type[Put]] = dict(
    zip(
        SECTIONS,
        (PutCustomer, PutOperator, PutZone, PutEntryHost, PutUpstream),
        strict=True,
    )
)
_SECTION_BY_PUT = {kind: section for section, kind in _PUT_BY_SECTION.items()}


@dataclass(frozen=True, slots=True, kw_only=True)
class Intent:
    """Requested changes; mass removal must be allowed explicitly."""

    __pydantic_config__ = STRICT

    schema_version: Literal[SCHEMA_VERSION] = SCHEMA_VERSION
    reason: Annotated[str, Field(min_length=1, max_length=500)]
    changes: Annotated[tuple[Change, ...], Field(min_length=1, max_length=MAX_CHANGES)]
    allow_mass_removal: bool = False


def key_of(entry: Entry) -> Key:
    """Return the key of an entry in its section."""
    zone = getattr(entry, "zone", "")
    return f"{zone}.{entry.name}" if zone else entry.name


def target_of(change: Change) -> tuple[str, Key]:
    """Return the section and key of the object that a change modifies."""
    if isinstance(change, SetPolicies):
        return "policies", ""
    if isinstance(change, Remove):
        return change.section, change.key
    return _SECTION_BY_PUT[type(change)], key_of(change.entry)


def apply_changes(
    base: Configuration, changes: Iterable[Change]
) -> tuple[Configuration, tuple[FieldError, ...]]:
    """Return the changed configuration, and an error for each inapplicable change."""
    changed_sections: dict[str, dict[Key, Entry]] = {}
    seen: set[tuple[str, Key]] = set()
    errors = []
    policies = base.policies
    for index, change in enumerate(changes):
        section, key = target = target_of(change)
        if target in seen:
            errors.append(
                FieldError(f"changes[{index}]", f"changes {key!r} a second time")
            )
        seen.add(target)
        if isinstance(change, SetPolicies):
            policies = change.policies
            continue
        if section not in changed_sections:
            changed_sections[section] = {key_of(e): e for e in getattr(base, section)}
        entries = changed_sections[section]
        if not isinstance(change, Remove):
            entries[key] = change.entry
        elif entries.pop(key, None) is None:
            errors.append(FieldError(f"changes[{index}]", f"no {key!r} in {section}"))
    sections = {
        name: tuple(entries.values()) for name, entries in changed_sections.items()
    }
    return replace(base, policies=policies, **sections), tuple(errors)


def changes_between(base: Configuration, wanted: Configuration) -> tuple[Change, ...]:
    """Return the changes that turn one configuration into another."""
    changes: list[Change] = []
    for section in SECTIONS:
        changes += _section_changes(section, base, wanted)
    if base.policies != wanted.policies:
        changes.append(SetPolicies(policies=wanted.policies))
    return tuple(changes)


def _section_changes(
    section: Section, base: Configuration, wanted: Configuration
) -> list[Change]:
    before = {key_of(e): e for e in getattr(base, section)}
    after = {key_of(e): e for e in getattr(wanted, section)}
    changes: list[Change] = [
        Remove(section=section, name=entry.name, zone=getattr(entry, "zone", ""))
        for key, entry in before.items()
        if key not in after
    ]
    changes += [
        _PUT_BY_SECTION[section](entry=entry)
        for key, entry in after.items()
        if before.get(key) != entry
    ]
    return changes
