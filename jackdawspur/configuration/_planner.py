"""Computes the plan of an intent: what it would change if it were confirmed."""

from collections.abc import Iterable
from dataclasses import dataclass

from jackdawspur.configuration._changes import (
    SECTIONS,
    Change,
    PutCustomer,
    Remove,
    apply_changes,
)
from jackdawspur.configuration._diff import describe
from jackdawspur.configuration._document import Configuration
from jackdawspur.configuration._records import Proposal

__all__ = ["Plan", "ZoneCapacity", "mass_removals", "build_plan"]

# Fewer removals than this are not a mass removal, unless they empty a section.
MASS_REMOVAL_MIN = 3
MASS_REMOVAL_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """Upstream slots of a zone before and after a change."""

    zone: str
    slots_before: int
    slots_after: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What a proposal would change if confirmed; nothing is in force yet."""

    id: str
    base: int
    operator: str
    reason: str
    diff: tuple[str, ...]
    removals: tuple[str, ...]
    customers: tuple[str, ...]
    job_classes: tuple[str, ...]
    capacity: tuple[ZoneCapacity, ...]
    unreachable_zones: tuple[str, ...]
    mass_removal: tuple[str, ...] = ()


def build_plan(
    proposal: Proposal, current: Configuration, unreachable: Iterable[str]
) -> Plan:
    """Return the plan of a proposal against the configuration it is based on.

    `unreachable` names the zones that this host can't reach.
    """
    after, _ = apply_changes(current, proposal.changes)
    capacity = _capacity(current, after)
    # Any job may run on any upstream, so a change of capacity affects all customers.
    affected = _affected_customers(current, after, proposal.changes, bool(capacity))
    known = {zone.name for zone in (*current.zones, *after.zones)}
    return Plan(
        id=proposal.plan,
        base=proposal.base,
        operator=proposal.operator,
        reason=proposal.reason,
        diff=describe(current, proposal.changes),
        removals=tuple(
            f"{change.section}[{change.key}]"
            for change in proposal.changes
            if isinstance(change, Remove)
        ),
        customers=affected,
        job_classes=_class_names(affected, current, after),
        capacity=capacity,
        unreachable_zones=tuple(sorted(known.intersection(unreachable))),
        mass_removal=mass_removals(current, proposal.changes),
    )


def mass_removals(
    current: Configuration, changes: tuple[Change, ...]
) -> tuple[str, ...]:
    """Return the sections that the changes empty or reduce by a large fraction."""
    found = []
    result, _ = apply_changes(current, changes)
    for section in SECTIONS:
        removed = [c for c in changes if isinstance(c, Remove) and c.section == section]
        before = len(getattr(current, section))
        after = len(getattr(result, section))
        large = len(removed) >= max(MASS_REMOVAL_MIN, MASS_REMOVAL_FRACTION * before)
        if removed and (large or not after):
            found.append(f"{section}: {len(removed)} of {before}")
    return tuple(found)


def _affected_customers(
    current: Configuration,
    after: Configuration,
    changes: tuple[Change, ...],
    all_customers: bool,
) -> tuple[str, ...]:
    if all_customers or current.policies != after.policies:
        return tuple(sorted({c.name for c in (*current.customers, *after.customers)}))
    customers = {c.entry.name for c in changes if isinstance(c, PutCustomer)}
    removes = (c for c in changes if isinstance(c, Remove))
    customers.update(c.name for c in removes if c.section == "customers")
    return tuple(sorted(customers))


def _class_names(
    customers: tuple[str, ...], *documents: Configuration
) -> tuple[str, ...]:
    return tuple(
        sorted(
            {
                f"{customer.name}/{job_class.name}"
                for document in documents
                for customer in document.customers
                if customer.name in customers
                for job_class in customer.classes
            }
        )
    )


def _capacity(before: Configuration, after: Configuration) -> tuple[ZoneCapacity, ...]:
    old, new = _slots(before), _slots(after)
    return tuple(
        ZoneCapacity(zone, old.get(zone, 0), new.get(zone, 0))
        for zone in sorted(old.keys() | new.keys())
        if old.get(zone, 0) != new.get(zone, 0)
    )


def _slots(configuration: Configuration) -> dict[str, int]:
    slots: dict[str, int] = {}
    for upstream in configuration.upstreams:
        slots[upstream.zone] = slots.get(upstream.zone, 0) + upstream.slots
    return slots
