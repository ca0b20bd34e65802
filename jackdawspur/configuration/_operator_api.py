"""Handles the operators' requests: plan, confirm, history and status."""

from collections import deque
from collections.abc import Iterable
from functools import singledispatchmethod

from jackdawspur.configuration import _views as views
from jackdawspur.configuration._append_rate_limiter import AppendPurpose
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
    PendingAppend,
    WaitingConfirm,
    conflict_message,
    make_reply,
    required_right,
)
from jackdawspur.configuration._planner import Plan, build_plan
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

MAX_AUDIT_ENTRIES = 256
APPEND_RETRY_S = 0.5
# Less than the 6 s within which a change must be in force, so that operators get an
# answer within that time.
APPEND_TIMEOUT_S = 5.0
# How long a confirm waits until this host has read a plan made at another host.
PLAN_WAIT_S = 1.0
UNKNOWN_OPERATOR = "-"

OperatorEffect = OperatorReply | AppendRecord | WriteAuditEntry


class OperatorApi:
    """Handle the requests of operators to this host.

    The order of the log decides between confirms at different hosts.
    """

    def __init__(
        self, replica: ConfigurationReplica, bootstrap: Iterable[OperatorEntry] = ()
    ) -> None:
        self.refusals = 0
        self._replica = replica
        # Accepted only until the first configuration defines operators.
        self._bootstrap = tuple(bootstrap)
        self._audit: deque[AuditEntry] = deque(maxlen=MAX_AUDIT_ENTRIES)
        self._pending: dict[str, PendingAppend] = {}
        self._waiting_confirms: list[WaitingConfirm] = []
        self._unreachable_zones: frozenset[str] = frozenset()

    @property
    def audit(self) -> tuple[AuditEntry, ...]:
        """Return the most recent refusals of this host, oldest first."""
        return tuple(self._audit)

    def set_unreachable_zones(self, zones: Iterable[str]) -> None:
        """Set the zones that the membership view reports as unreachable."""
        self._unreachable_zones = frozenset(zones)

    def handle(self, now: float, request: OperatorRequest) -> list[OperatorEffect]:
        """Process one request; return its reply, or the append that must end first."""
        operator = self._find_operator(request.token)
        if operator is None:
            return self._refuse_unknown_operator(request)
        right = required_right(request)
        if right not in operator.rights:
            text = f"this needs the right to {right}; nothing was done"
            return self._refuse(
                request, operator.name, OperatorReplyCode.FORBIDDEN, text
            )
        return self._on(request, now, operator.name)

    def on_append_completed(
        self, now: float, event: AppendCompleted
    ) -> list[OperatorEffect]:
        """Process the end of an append; a lost reply is resolved by reading the log."""
        pending = self._pending.get(event.record_id)
        if pending is None:
            return []
        pending.in_flight = False
        pending.next_attempt_at = now + APPEND_RETRY_S
        if event.offset is not None:
            pending.offset = event.offset
        elif event.maybe_sent:
            pending.maybe_appended = True
        elif not pending.maybe_appended:
            text = "the log can't be reached; nothing changed, retry later"
            return self._finish(pending, OperatorReplyCode.LOG_UNAVAILABLE, text)
        return self.resolve_pending(now)

    def resolve_pending(self, now: float) -> list[OperatorEffect]:
        """Answer the requests whose outcome is known now.

        Call after each event of the replica, ticks included.
        """
        effects: list[OperatorEffect] = []
        waiting_confirms, self._waiting_confirms = self._waiting_confirms, []
        for waiting in waiting_confirms:
            effects += self._retry_confirm(waiting, now)
        for pending in tuple(self._pending.values()):
            effects += self._resolve(pending, now)
        return effects

    @singledispatchmethod
    def _on(
        self, request: OperatorRequest, now: float, name: str
    ) -> list[OperatorEffect]:
        raise TypeError(f"not an operator request: {request!r}")

    @_on.register
    def _on_plan(
        self, request: PlanAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        state_machine = self._replica.state_machine
        if not_ready_reason := views.not_ready_reason(self._replica):
            return self._refuse(
                request, name, OperatorReplyCode.NOT_READY, not_ready_reason
            )
        try:
            intent = load_intent(request.intent, state_machine.configuration)
        except InvalidConfiguration as error:
            text = f"{len(error.errors)} faults; nothing was planned"
            faults = Faults(error.errors)
            return self._refuse(request, name, OperatorReplyCode.INVALID, text, faults)
        proposal = new_proposal(intent, state_machine.version, name, request.at)
        plan = build_plan(
            proposal, state_machine.configuration, self._unreachable_zones
        )
        if plan.mass_removal and not intent.allow_mass_removal:
            text = "mass removal needs allow_mass_removal; nothing was planned"
            return self._refuse(
                request, name, OperatorReplyCode.MASS_REMOVAL, text, plan
            )
        if state_machine.plan(proposal.plan):
            return [make_reply(request.call, OperatorReplyCode.OK, "planned", plan)]
        return self._append(request, now, name, proposal, AppendPurpose.PROPOSAL, plan)

    @_on.register
    def _on_confirm(
        self, request: ConfirmAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        state_machine = self._replica.state_machine
        if applied := state_machine.confirmed(request.plan):
            status = views.change_status(self._replica, applied)
            return [make_reply(request.call, OperatorReplyCode.OK, "confirmed", status)]
        if not_ready_reason := views.not_ready_reason(self._replica):
            return self._refuse(
                request, name, OperatorReplyCode.NOT_READY, not_ready_reason
            )
        proposal = state_machine.plan(request.plan)
        if proposal is None:
            self._waiting_confirms.append(WaitingConfirm(request, now + PLAN_WAIT_S))
            return []
        if proposal.base != state_machine.head:
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

    def _retry_confirm(
        self, waiting: WaitingConfirm, now: float
    ) -> list[OperatorEffect]:
        request, state_machine = waiting.request, self._replica.state_machine
        if state_machine.plan(request.plan) or state_machine.confirmed(request.plan):
            return self.handle(now, request)
        if now < waiting.deadline:
            self._waiting_confirms.append(waiting)
            return []
        if self._replica.log_health is LogHealth.DOWN:
            # The plan may be in the log; NOT_FOUND would make the operator create a
            # second one.
            text = "the log can't be read to find this plan; nothing changed, retry"
            return self._refuse(
                request, UNKNOWN_OPERATOR, OperatorReplyCode.LOG_UNAVAILABLE, text
            )
        text = "there is no such plan, or it is no longer kept; plan again"
        return self._refuse(
            request, UNKNOWN_OPERATOR, OperatorReplyCode.NOT_FOUND, text
        )

    @_on.register
    def _on_history(
        self, request: HistoryAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        history = views.history(self._replica, self.audit)
        return [make_reply(request.call, OperatorReplyCode.OK, "history", history)]

    @_on.register
    def _on_status(
        self, request: StatusAsked, now: float, name: str
    ) -> list[OperatorEffect]:
        status = views.status(self._replica, self.refusals)
        return [make_reply(request.call, OperatorReplyCode.OK, "status", status)]

    def _find_operator(self, token: str) -> OperatorEntry | None:
        operators = (
            self._replica.state_machine.configuration.operators or self._bootstrap
        )
        hashed = token_hash(token)
        return next((o for o in operators if hashed in o.token_sha256), None)

    def _refuse_unknown_operator(
        self, request: OperatorRequest
    ) -> list[OperatorEffect]:
        replica = self._replica
        if not (
            replica.state_machine.configuration.operators or replica.readiness.ready
        ):
            # Without a configuration no token is known, so 401 would be misleading.
            text = "this host has no configuration yet; use another host"
            return self._refuse(
                request, UNKNOWN_OPERATOR, OperatorReplyCode.NOT_READY, text
            )
        text = "the token names no operator; nothing was done"
        return self._refuse(
            request, UNKNOWN_OPERATOR, OperatorReplyCode.UNAUTHORIZED, text
        )

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
        if not self._replica.rate_limiter.try_acquire(purpose, now):
            text = "this host has used up its share of appends to the log; retry later"
            return self._refuse(request, name, OperatorReplyCode.LOG_BUDGET, text)
        deadline = now + APPEND_TIMEOUT_S
        self._pending[record.id] = PendingAppend(
            record, purpose, name, deadline, now, plan, [request.call]
        )
        return [AppendRecord(purpose, record.id, encode_record(record))]

    def _resolve(self, pending: PendingAppend, now: float) -> list[OperatorEffect]:
        outcome = self._outcome(pending)
        if outcome:
            return self._finish(pending, *outcome)
        if now >= pending.deadline:
            text = "the log doesn't show the outcome yet; repeat the same request"
            return self._finish(pending, OperatorReplyCode.OUTCOME_UNKNOWN, text)
        if (
            pending.in_flight
            or pending.offset is not None
            or now < pending.next_attempt_at
        ):
            return []
        # The first append may have taken effect. Repeating it is safe: due to its base
        # or its plan id, every host ignores all copies but the first.
        if not self._replica.rate_limiter.try_acquire(pending.purpose, now):
            pending.next_attempt_at = now + APPEND_RETRY_S
            return []
        pending.in_flight = True
        record = pending.record
        return [AppendRecord(pending.purpose, record.id, encode_record(record))]

    def _outcome(self, pending: PendingAppend):
        state_machine, record = self._replica.state_machine, pending.record
        if isinstance(record, Proposal):
            if pending.offset is None and state_machine.plan(record.plan) is None:
                return None
            return OperatorReplyCode.OK, "planned", pending.plan
        if applied := state_machine.confirmed(record.plan):
            return (
                OperatorReplyCode.OK,
                "confirmed",
                views.change_status(self._replica, applied),
            )
        if any(void.plan == record.plan for void in state_machine.void_confirms):
            conflict = views.conflict(self._replica, record.base)
            return OperatorReplyCode.CONFLICT, conflict_message(conflict.won), conflict
        if pending.offset is not None and state_machine.through >= pending.offset:
            text = "the confirm is in the log but can't be applied; see skipped records"
            return OperatorReplyCode.INVALID, text, None
        return None

    def _finish(
        self, pending: PendingAppend, code, text, body=None
    ) -> list[OperatorEffect]:
        del self._pending[pending.record.id]
        effects: list[OperatorEffect] = []
        if code is not OperatorReplyCode.OK:
            at, action = pending.record.at, pending.purpose
            effects.append(
                self._record_refusal(at, pending.operator, action, code, text)
            )
        effects += [make_reply(call, code, text, body) for call in pending.calls]
        return effects

    def _conflict(
        self, request: ConfirmAsked, name: str, proposal: Proposal
    ) -> list[OperatorEffect]:
        conflict = views.conflict(self._replica, proposal.base)
        text = conflict_message(conflict.won)
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
        audited = self._record_refusal(request.at, name, action, code, text)
        return [audited, make_reply(request.call, code, text, body)]

    def _record_refusal(
        self, at, operator, action, code: OperatorReplyCode, text: str
    ) -> WriteAuditEntry:
        self.refusals += 1
        entry = AuditEntry(at, operator, str(action), code, text)
        self._audit.append(entry)
        return WriteAuditEntry(entry)
