"""Answer operators: plan, confirm, history and status."""

from collections import deque
from collections.abc import Iterable
from functools import singledispatchmethod

from jackdawspur.configuration import _views as views
from jackdawspur.configuration._budget import AppendPurpose
from jackdawspur.configuration._checks import load_intent
from jackdawspur.configuration._cluster_spec import token_hash
from jackdawspur.configuration._document import OperatorEntry
from jackdawspur.configuration._errors import InvalidConfiguration
from jackdawspur.configuration._operations import (
    AuditEntry,
    ConfirmAsked,
    Faults,
    HistoryAsked,
    OperatorReply,
    OperatorReplyCode,
    OperatorRequest,
    PlanAsked,
    StatusAsked,
    WriteAuditEntry,
)
from jackdawspur.configuration._pending import (
    Awaited,
    Pending,
    conflict_text,
    reply_to,
    right_for,
)
from jackdawspur.configuration._planner import Plan, plan_of
from jackdawspur.configuration._readiness import LogHealth
from jackdawspur.configuration._records import (
    Confirm,
    Proposal,
    encode_record,
    new_proposal,
)
from jackdawspur.configuration._replica import ConfigurationReplica
from jackdawspur.configuration._replica_events import AppendCompleted, AppendRecord

__all__ = ["OperatorApi"]

AUDIT_KEPT = 256
APPEND_RETRY_S = 0.5
# Within the 6 s in which a change has to be in force, an operator gets an answer.
APPEND_BOUND_S = 5.0
# A plan asked for at one host may be confirmed at another that reads it later.
PLAN_WAIT_S = 1.0
NOBODY = "-"

OperatorEffect = OperatorReply | AppendRecord | WriteAuditEntry


class OperatorApi:
    """Answer the operators that reach this host; the log decides between hosts."""

    def __init__(
        self, keeper: ConfigurationReplica, bootstrap: Iterable[OperatorEntry] = ()
    ) -> None:
        self.refusals = 0
        self._keeper = keeper
        # Valid only until a first configuration names operators.
        self._bootstrap = tuple(bootstrap)
        self._audit: deque[AuditEntry] = deque(maxlen=AUDIT_KEPT)
        self._pending: dict[str, Pending] = {}
        self._awaited: list[Awaited] = []
        self._unreachable: frozenset[str] = frozenset()

    @property
    def audit(self) -> tuple[AuditEntry, ...]:
        """Return the newest refusals of this host, oldest first."""
        return tuple(self._audit)

    def set_unreachable_zones(self, zones: Iterable[str]) -> None:
        """Take from the view which zones this host doesn't reach."""
        self._unreachable = frozenset(zones)

    def handle(self, now: float, request: OperatorRequest) -> list[OperatorEffect]:
        """Take one request; return its reply or the append that it waits for."""
        operator = self._operator(request.token)
        if operator is None:
            return self._unknown_operator(request)
        right = right_for(request)
        if right not in operator.rights:
            text = f"this needs the right to {right}; nothing was done"
            return self._refuse(
                request, operator.name, OperatorReplyCode.FORBIDDEN, text
            )
        return self._on(request, now, operator.name)

    def on_append_completed(
        self, now: float, event: AppendCompleted
    ) -> list[OperatorEffect]:
        """Take the end of an append; a lost reply is resolved by the log."""
        pending = self._pending.get(event.record_id)
        if pending is None:
            return []
        pending.under_way = False
        pending.next_try = now + APPEND_RETRY_S
        if event.offset is not None:
            pending.offset = event.offset
        elif event.maybe_sent:
            pending.may_stand = True
        elif not pending.may_stand:
            text = "the log can't be reached; nothing changed, ask again later"
            return self._finish(pending, OperatorReplyCode.LOG_UNAVAILABLE, text)
        return self.resolve_pending(now)

    def resolve_pending(self, now: float) -> list[OperatorEffect]:
        """Answer what the fold has decided; call after each fold and tick."""
        effects: list[OperatorEffect] = []
        awaited, self._awaited = self._awaited, []
        for waiting in awaited:
            effects += self._look_again(waiting, now)
        for pending in tuple(self._pending.values()):
            effects += self._settle(pending, now)
        return effects

    @singledispatchmethod
    def _on(
        self, request: OperatorRequest, now: float, name: str
    ) -> list[OperatorEffect]:
        raise TypeError(f"not a request: {request!r}")

    @_on.register
    def _on_plan(
        self, request: PlanAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        fold = self._keeper.state_machine
        if obstacle := views.obstacle(self._keeper):
            return self._refuse(request, name, OperatorReplyCode.NOT_READY, obstacle)
        try:
            intent = load_intent(request.intent, fold.configuration)
        except InvalidConfiguration as error:
            text = f"{len(error.errors)} faults; nothing was planned"
            faults = Faults(error.errors)
            return self._refuse(request, name, OperatorReplyCode.INVALID, text, faults)
        proposal = new_proposal(intent, fold.version, name, request.at)
        plan = plan_of(proposal, fold.configuration, self._unreachable)
        if plan.mass_removal and not intent.allow_mass_removal:
            text = "mass removal needs allow_mass_removal; nothing was planned"
            return self._refuse(
                request, name, OperatorReplyCode.MASS_REMOVAL, text, plan
            )
        if fold.plan(proposal.plan):
            return [reply_to(request.call, OperatorReplyCode.OK, "planned", plan)]
        return self._append(request, now, name, proposal, AppendPurpose.PROPOSAL, plan)

    @_on.register
    def _on_confirm(
        self, request: ConfirmAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        fold = self._keeper.state_machine
        if done := fold.confirmed(request.plan):
            status = views.change_status(self._keeper, done)
            return [reply_to(request.call, OperatorReplyCode.OK, "confirmed", status)]
        if obstacle := views.obstacle(self._keeper):
            return self._refuse(request, name, OperatorReplyCode.NOT_READY, obstacle)
        proposal = fold.plan(request.plan)
        if proposal is None:
            self._awaited.append(Awaited(request, now + PLAN_WAIT_S))
            return []
        if proposal.base != fold.head:
            return self._conflict(request, name, proposal)
        confirm = Confirm(
            id=f"confirm-{proposal.plan}",
            plan=proposal.plan,
            base=proposal.base,
            operator=name,
            reason=proposal.reason,
            at=request.at,
            changes=proposal.changes,
        )
        return self._append(request, now, name, confirm, AppendPurpose.CONFIRM)

    def _look_again(self, waiting: Awaited, now: float) -> list[OperatorEffect]:
        request, fold = waiting.request, self._keeper.state_machine
        if fold.plan(request.plan) or fold.confirmed(request.plan):
            return self.handle(now, request)
        if now < waiting.deadline:
            self._awaited.append(waiting)
            return []
        if self._keeper.log_health is LogHealth.DOWN:
            # The plan may stand in the log; an operator told to plan again would
            # only make a second one.
            text = "the log can't be read for this plan; nothing changed, ask again"
            return self._refuse(
                request, NOBODY, OperatorReplyCode.LOG_UNAVAILABLE, text
            )
        text = "no such plan is kept; plan again"
        return self._refuse(request, NOBODY, OperatorReplyCode.NOT_FOUND, text)

    @_on.register
    def _on_history(
        self, request: HistoryAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        history = views.history(self._keeper, self.audit)
        return [reply_to(request.call, OperatorReplyCode.OK, "history", history)]

    @_on.register
    def _on_status(
        self, request: StatusAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        status = views.status(self._keeper, self.refusals)
        return [reply_to(request.call, OperatorReplyCode.OK, "status", status)]

    def _operator(self, token: str) -> OperatorEntry | None:
        known = self._keeper.state_machine.configuration.operators or self._bootstrap
        hashed = token_hash(token)
        return next((o for o in known if hashed in o.token_sha256), None)

    def _unknown_operator(self, request: OperatorRequest) -> list[OperatorEffect]:
        keeper = self._keeper
        if not (keeper.state_machine.configuration.operators or keeper.readiness.ready):
            # Without a configuration nobody's token is known: 401 would mislead.
            text = "this host has no configuration yet; ask another"
            return self._refuse(request, NOBODY, OperatorReplyCode.NOT_READY, text)
        text = "the token names no operator; nothing was done"
        return self._refuse(request, NOBODY, OperatorReplyCode.UNAUTHORIZED, text)

    def _append(
        self,
        request: PlanAsked | ConfirmAsked,
        now: float,
        name: str,
        record: Proposal | Confirm,
        purpose: AppendPurpose,
        plan: Plan | None = None,
    ) -> list[OperatorEffect]:
        if pending := self._pending.get(record.id):
            pending.calls.append(request.call)
            return []
        if not self._keeper.budget.try_acquire(purpose, now):
            text = "this host's share of the log is used up; ask again later"
            return self._refuse(request, name, OperatorReplyCode.LOG_BUDGET, text)
        deadline = now + APPEND_BOUND_S
        self._pending[record.id] = Pending(
            record, purpose, name, deadline, now, plan, [request.call]
        )
        return [AppendRecord(purpose, record.id, encode_record(record))]

    def _settle(self, pending: Pending, now: float) -> list[OperatorEffect]:
        outcome = self._outcome(pending)
        if outcome:
            return self._finish(pending, *outcome)
        if now >= pending.deadline:
            text = "the log didn't tell the outcome; ask the same again"
            return self._finish(pending, OperatorReplyCode.OUTCOME_UNKNOWN, text)
        if pending.under_way or pending.offset is not None or now < pending.next_try:
            return []
        # The first append may stand. Repeating it is safe: its base or its plan id
        # makes every copy after the first void on every host.
        if not self._keeper.budget.try_acquire(pending.purpose, now):
            pending.next_try = now + APPEND_RETRY_S
            return []
        pending.under_way = True
        record = pending.record
        return [AppendRecord(pending.purpose, record.id, encode_record(record))]

    def _outcome(self, pending: Pending):
        fold, record = self._keeper.state_machine, pending.record
        if isinstance(record, Proposal):
            if pending.offset is None and fold.plan(record.plan) is None:
                return None
            return OperatorReplyCode.OK, "planned", pending.plan
        if done := fold.confirmed(record.plan):
            return (
                OperatorReplyCode.OK,
                "confirmed",
                views.change_status(self._keeper, done),
            )
        if any(void.plan == record.plan for void in fold.voids):
            conflict = views.conflict(self._keeper, record.base)
            return OperatorReplyCode.CONFLICT, conflict_text(conflict.won), conflict
        if pending.offset is not None and fold.through >= pending.offset:
            text = "the log holds the confirm but it can't be applied; see skipped"
            return OperatorReplyCode.INVALID, text, None
        return None

    def _finish(self, pending: Pending, code, text, body=None) -> list[OperatorEffect]:
        del self._pending[pending.record.id]
        effects: list[OperatorEffect] = []
        if code is not OperatorReplyCode.OK:
            at, action = pending.record.at, pending.purpose
            effects.append(self._note(at, pending.operator, action, code, text))
        effects += [reply_to(call, code, text, body) for call in pending.calls]
        return effects

    def _conflict(
        self, request: ConfirmAsked, name: str, proposal: Proposal
    ) -> list[OperatorEffect]:
        conflict = views.conflict(self._keeper, proposal.base)
        text = conflict_text(conflict.won)
        return self._refuse(request, name, OperatorReplyCode.CONFLICT, text, conflict)

    def _refuse(
        self,
        request: OperatorRequest,
        name: str,
        code: OperatorReplyCode,
        text: str,
        body=None,
    ) -> list[OperatorEffect]:
        action = type(request).__name__.removesuffix("Asked").lower()
        audited = self._note(request.at, name, action, code, text)
        return [audited, reply_to(request.call, code, text, body)]

    def _note(
        self, at, operator, action, code: OperatorReplyCode, text: str
    ) -> WriteAuditEntry:
        self.refusals += 1
        entry = AuditEntry(at, operator, str(action), code, text)
        self._audit.append(entry)
        return WriteAuditEntry(entry)
