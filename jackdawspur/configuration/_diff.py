"""Describe changes in lines that a person reads."""

from dataclasses import fields

from jackdawspur.configuration._changes import (
    Change,
    Entry,
    Remove,
    SetPolicies,
    key_of,
    target_of,
)
from jackdawspur.configuration._document import Configuration

__all__ = ["describe", "summarize"]

HIDDEN_FIELDS = frozenset({"token_sha256"})
SUMMARY_LINES = 10


def describe(base: Configuration, changes: tuple[Change, ...]) -> tuple[str, ...]:
    """Return one line a change, and one more for each field that differs."""
    lines: list[str] = []
    entries: dict[str, dict[str, Entry]] = {}
    for change in changes:
        section, key = target_of(change)
        if isinstance(change, SetPolicies):
            lines.append("~ policies")
            lines += _differences(base.policies, change.policies)
        elif isinstance(change, Remove):
            lines.append(f"- {section}[{key}]")
        else:
            if section not in entries:
                entries[section] = {key_of(e): e for e in getattr(base, section)}
            before = entries[section].get(key)
            lines.append(f"{'~' if before else '+'} {section}[{key}]")
            lines += _differences(before, change.entry)
    return tuple(lines)


def summarize(base: Configuration, changes: tuple[Change, ...]) -> tuple[str, ...]:
    """Return the first lines of the description, bounded."""
    lines = describe(base, changes[:SUMMARY_LINES])
    cut = lines[:SUMMARY_LINES]
    hidden = len(changes) - sum(not line.startswith(" ") for line in cut)
    return (*cut, f"... and {hidden} more changes") if hidden > 0 else cut


def _differences(before, after) -> list[str]:
    lines = []
    for field in fields(after):
        new = getattr(after, field.name)
        old = getattr(before, field.name) if before else None
        if old == new or field.name in ("zone", "name"):
            continue
        if field.name in HIDDEN_FIELDS:
            lines.append(f"    {field.name}: changed")
        elif before:
            lines.append(f"    {field.name}: {_text(old)} -> {_text(new)}")
        else:
            lines.append(f"    {field.name}: {_text(new)}")
    return lines


def _text(value) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_text, value)) + "]"
    if hasattr(value, "__dataclass_fields__"):
        parts = (f"{f.name}={_text(getattr(value, f.name))}" for f in fields(value))
        return "{" + ", ".join(parts) + "}"
    return str(value)
