"""Builds the replies to operators from the state of one host."""

from jackdawspur.configuration._append_rate_limiter import AppendPurpose
from jackdawspur.configuration._diff import summarize
from jackdawspur.configuration._operations import (
    AppendCount,
    AuditEntry,
    ChangeState,
    ChangeStatus,
    Conflict,
    History,
    OperatorStatus,
)
from jackdawspur.configuration._records import HistoryEntry, Proposal
from jackdawspur.configuration._replica import ConfigurationReplica

__all__ = ["change_status", "conflict", "history", "not_ready_reason", "status"]

CHANGES_IN_STATUS = 10


def not_ready_reason(replica: ConfigurationReplica) -> str:
    """Return why this host can't plan or confirm now, or an empty text if it can."""
    state_machine = replica.state_machine
    if not state_machine.contiguous:
        return "records are missing here until the next snapshot; use another host"
    if state_machine.head != state_machine.version:
        return "a newer schema version is in force; use a host with a newer program"
    if not replica.caught_up:
        return "this host hasn't read the log to its end; use another host"
    return ""


def change_status(replica: ConfigurationReplica, entry: HistoryEntry) -> ChangeStatus:
    """Return the progress of a confirmed change."""
    hosts = replica.state_machine.configuration.entry_hosts
    zones = {host.zone for host in hosts}
    in_force = replica.zones.in_force(entry.version) & zones
    state = ChangeState.IN_FORCE if in_force else ChangeState.CONFIRMED
    if zones and in_force == zones:
        state = ChangeState.ACCEPTED
    return ChangeStatus(
        plan=entry.plan,
        state=state,
        version=entry.version,
        operator=entry.operator,
        reason=entry.reason,
        at=entry.at,
        in_force=tuple(sorted(in_force)),
        lacking=tuple(sorted(zones - in_force)),
        summary=entry.summary,
    )


def _plan_status(replica: ConfigurationReplica, proposal: Proposal) -> ChangeStatus:
    state_machine = replica.state_machine
    current = proposal.base == state_machine.head
    base = state_machine.configuration if current else None
    return ChangeStatus(
        plan=proposal.plan,
        state=ChangeState.PLANNED if current else ChangeState.VOID,
        version=None,
        operator=proposal.operator,
        reason=proposal.reason,
        at=proposal.at,
        in_force=(),
        lacking=(),
        summary=summarize(base, proposal.changes) if base else (),
    )


def conflict(replica: ConfigurationReplica, base: int) -> Conflict:
    """Return the version that won against a plan with an older base."""
    since = replica.state_machine.changes_since(base)
    # Only one change can be based on `base`: it won.
    won = next((e.version for e in since if e.base == base), replica.state_machine.head)
    return Conflict(base, won, tuple(change_status(replica, e) for e in since))


def history(replica: ConfigurationReplica, refused: tuple[AuditEntry, ...]) -> History:
    """Return plans, changes in force, void confirms and refused requests."""
    state_machine = replica.state_machine
    changes = tuple(change_status(replica, entry) for entry in state_machine.history)
    plans = tuple(_plan_status(replica, proposal) for proposal in state_machine.plans)
    return History(plans, changes, state_machine.void_confirms, refused)


def status(replica: ConfigurationReplica, refusals: int) -> OperatorStatus:
    """Return the state of the configuration on this host."""
    state_machine, rate_limiter = replica.state_machine, replica.rate_limiter
    recent = state_machine.history[-CHANGES_IN_STATUS:]
    return OperatorStatus(
        version=replica.version,
        head=state_machine.head,
        through=state_machine.through,
        contiguous=state_machine.contiguous,
        readiness=replica.readiness,
        log=replica.log_health,
        zones=replica.zones.known,
        changes=tuple(change_status(replica, entry) for entry in recent),
        skipped=state_machine.skipped,
        delays=replica.zones.delays,
        appends=tuple(
            AppendCount(p, rate_limiter.made[p], rate_limiter.refused[p])
            for p in AppendPurpose
        ),
        refusals=refusals,
    )
