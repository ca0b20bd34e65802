"""Work out what operators are shown from the state of one host."""

from jackdawspur.configuration._budget import AppendPurpose
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

__all__ = ["change_status", "conflict", "history", "obstacle", "status"]

CHANGES_IN_STATUS = 10


def obstacle(keeper: ConfigurationReplica) -> str:
    """Return why this host can't plan or confirm now; empty if it can."""
    fold = keeper.state_machine
    if not fold.contiguous:
        return "records are missing here until a snapshot comes; ask another host"
    if fold.head != fold.version:
        return "a newer schema version is in force; ask a host with a newer program"
    if not keeper.caught_up:
        return "this host hasn't read the log to its end; ask another"
    return ""


def change_status(keeper: ConfigurationReplica, entry: HistoryEntry) -> ChangeStatus:
    """Return how far a confirmed change is."""
    hosts = keeper.state_machine.configuration.entry_hosts
    zones = {host.zone for host in hosts}
    in_force = keeper.zones.in_force(entry.version) & zones
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


def _plan_status(keeper: ConfigurationReplica, proposal: Proposal) -> ChangeStatus:
    fold = keeper.state_machine
    current = proposal.base == fold.head
    base = fold.configuration if current else None
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


def conflict(keeper: ConfigurationReplica, base: int) -> Conflict:
    """Return what won against a plan with an older base."""
    since = keeper.state_machine.changes_since(base)
    # Exactly one change can have been built on the base: that one won.
    won = next((e.version for e in since if e.base == base), keeper.state_machine.head)
    return Conflict(base, won, tuple(change_status(keeper, e) for e in since))


def history(keeper: ConfigurationReplica, refused: tuple[AuditEntry, ...]) -> History:
    """Return plans, changes in force, confirms that lost and refused requests."""
    fold = keeper.state_machine
    changes = tuple(change_status(keeper, entry) for entry in fold.history)
    plans = tuple(_plan_status(keeper, proposal) for proposal in fold.plans)
    return History(plans, changes, fold.voids, refused)


def status(keeper: ConfigurationReplica, refusals: int) -> OperatorStatus:
    """Return the configuration as this host sees it."""
    fold, budget = keeper.state_machine, keeper.budget
    recent = fold.history[-CHANGES_IN_STATUS:]
    return OperatorStatus(
        version=keeper.version,
        head=fold.head,
        through=fold.through,
        contiguous=fold.contiguous,
        readiness=keeper.readiness,
        log=keeper.log_health,
        zones=keeper.zones.known,
        changes=tuple(change_status(keeper, entry) for entry in recent),
        skipped=fold.skipped,
        delays=keeper.zones.delays,
        appends=tuple(
            AppendCount(p, budget.made[p], budget.refused[p]) for p in AppendPurpose
        ),
        refusals=refusals,
    )
