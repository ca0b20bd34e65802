"""Descriptions of changes as lines of text."""

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
SUMMARY_CHANGES = 10
DETAILED_CHANGES = 3
INDENT = "    "


def describe(base: Configuration, changes: tuple[Change, ...]) -> tuple[str, ...]:
    """Return a line for each change, and one for each field that differs."""
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
    """Return a shortened description.

    A few changes are described in full; of more, only the first are named.
    """
    lines = describe(base, changes[:SUMMARY_CHANGES])
    if len(changes) <= DETAILED_CHANGES:
        return lines
    heads = tuple(line for line in lines if not line.startswith(INDENT))
    hidden = len(changes) - len(heads)
    return (*heads, f"... and {hidden} more changes") if hidden else heads


def _differences(before, after) -> list[str]:
    lines = []
    for field in fields(after):
        new = getattr(after, field.name)
        old = getattr(before, field.name) if before else None
        if old == new or field.name in ("zone", "name"):
            continue
        if field.name in HIDDEN_FIELDS:
            lines.append(f"{INDENT}{field.name}: changed")
        elif before:
            lines.append(f"{INDENT}{field.name}: {_text(old)} -> {_text(new)}")
        else:
            lines.append(f"{INDENT}{field.name}: {_text(new)}")
    return lines


def _text(value) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_text, value)) + "]"
    if hasattr(value, "__dataclass_fields__"):
        parts = (f"{f.name}={_text(getattr(value, f.name))}" for f in fields(value))
        return "{" + ", ".join(parts) + "}"
    return str(value)
