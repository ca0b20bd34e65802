"""Formats replies to operators as text; JSON is encoded from the data classes."""

from datetime import UTC, datetime
from functools import singledispatch

from jackdawspur.configuration._operations import (
    ChangeStatus,
    Conflict,
    Faults,
    History,
    OperatorReply,
    OperatorStatus,
)
from jackdawspur.configuration._planner import Plan

__all__ = ["format_operator_reply"]


def format_operator_reply(reply: OperatorReply) -> str:
    """Return a reply as the text that the command line prints."""
    lines = [f"{reply.status.value} {reply.code}: {reply.message}"]
    lines += _lines(reply.body)
    if reply.page:
        lines.append(f"see {reply.page}")
    return "\n".join(lines) + "\n"


@singledispatch
def _lines(body: object) -> list[str]:
    return []


@_lines.register
def _plan(plan: Plan) -> list[str]:
    lines = [
        f"plan {plan.id} on version {plan.base} by {plan.operator}: {plan.reason}",
        *plan.diff,
    ]
    lines += [f"! mass removal: {found}" for found in plan.mass_removal]
    lines += [f"removes: {', '.join(plan.removals) or 'nothing'}"]
    lines += [f"customers touched: {', '.join(plan.customers) or 'none'}"]
    lines += [f"job classes touched: {', '.join(plan.job_classes) or 'none'}"]
    lines += [
        f"slots in {change.zone}: {change.slots_before} -> {change.slots_after}"
        for change in plan.capacity
    ]
    lines += [f"! zone not reached: {zone}" for zone in plan.unreachable_zones]
    return lines


@_lines.register
def _change(change: ChangeStatus) -> list[str]:
    version = "-" if change.version is None else f"version {change.version}"
    when = datetime.fromtimestamp(change.at, UTC).isoformat(timespec="seconds")
    lines = [
        f"{version} {change.state} plan {change.plan}",
        f"    {when} {change.operator}: {change.reason}",
    ]
    if change.in_force:
        lines.append(f"    in force in {', '.join(change.in_force)}")
    if change.lacking:
        lines.append(f"    not yet in {', '.join(change.lacking)}")
    return lines + [f"    {line}" for line in change.summary]


@_lines.register
def _conflict(conflict: Conflict) -> list[str]:
    lines = [f"the plan is based on version {conflict.base}; since then:"]
    for change in conflict.since:
        lines += _lines(change)
    return lines


@_lines.register
def _faults(faults: Faults) -> list[str]:
    return [f"{error.path}: {error.message}" for error in faults.errors]


@_lines.register
def _history(history: History) -> list[str]:
    lines = []
    for change in (*history.changes, *history.plans):
        lines += _lines(change)
    lines += [
        f"void at {void.offset}: plan {void.plan} by {void.operator} on version"
        f" {void.base}; version {void.won} won"
        for void in history.void
    ]
    lines += [
        f"refused {entry.action} of {entry.operator}: {entry.code}: {entry.message}"
        for entry in history.refused
    ]
    return lines


@_lines.register
def _status(status: OperatorStatus) -> list[str]:
    lines = [
        f"version {status.version}, log read through {status.through}",
        f"log {status.log}; ready {status.readiness.ready}: {status.readiness.message}",
    ]
    if not status.contiguous:
        lines.append("! records are missing until the next snapshot")
    if status.head != status.version:
        lines.append(f"! version {status.head} won, but is not in force here")
    lines += [
        f"zone {report.zone}: version {report.version}" for report in status.zones
    ]
    for change in status.changes:
        lines += _lines(change)
    lines += [
        f"! skipped {skipped.offset}: {skipped.reason}: {skipped.message}"
        for skipped in status.skipped
    ]
    lines += [
        f"appends for {count.purpose}: {count.made} made, {count.refused} refused"
        for count in status.appends
    ]
    lines.append(f"requests refused: {status.refusals}")
    return lines
