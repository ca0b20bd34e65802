"""Carrying out what the keeper of the configuration and the operators' desk ask."""

import logging
from collections.abc import Callable, Iterable
from time import monotonic, time

from result import Ok, Result

from jackdawspur.configuration import (
    ActivateConfiguration,
    AppendCompleted,
    AppendRecord,
    ConfigurationReplica,
    LogReadFailed,
    LogRecordsRead,
    LogStartAdvanced,
    OperatorApi,
    OperatorReply,
    OperatorRequest,
    ReadLog,
    ReplicaEvent,
    ReplicaTick,
    ReportSkipped,
    RequestRecords,
    SendRecords,
    WriteAuditEntry,
)
from jackdawspur.external import (
    Log,
    LogRecord,
    LogTrimmed,
    OutcomeUnknown,
    PlatformError,
    Stream,
)
from jackdawspur.messages import Message
from jackdawspur.model import HostId

__all__ = ["ConfigurationDriver"]

log = logging.getLogger(__name__)


class ConfigurationDriver:
    """Connect keeper and desk to the log, the links and the decisions."""

    def __init__(
        self,
        keeper: ConfigurationReplica,
        desk: OperatorApi,
        platform_log: Log,
        send: Callable[[HostId, Message], object],
        activate: Callable[[ActivateConfiguration], None],
        reply: Callable[[OperatorReply], None],
    ) -> None:
        self._keeper = keeper
        self._desk = desk
        self._log = platform_log
        self._send = send
        self._activate = activate
        self._reply = reply

    def tell(self, event: ReplicaEvent) -> None:
        """Let the keeper handle an event, then let the desk see what it settled."""
        now = monotonic()
        self._do(self._keeper.handle(now, event))
        self._do(self._desk.resolve_pending(now))

    def ask(self, request: OperatorRequest) -> None:
        """Let the desk handle an operator's request."""
        self._do(self._desk.handle(monotonic(), request))

    def tick(self) -> None:
        """Let time pass."""
        self.tell(ReplicaTick(time()))

    def _do(self, effects: Iterable[object]) -> None:
        for effect in effects:
            _ACTIONS[type(effect)](self, effect)

    def _read(self, effect: ReadLog) -> None:
        self._log.read(
            Stream.CONFIGURATION, effect.offset, effect.wait_ms, self._on_read
        )

    def _on_read(self, done: Result[tuple[LogRecord, ...], PlatformError]) -> None:
        if isinstance(done, Ok):
            self.tell(LogRecordsRead(done.ok_value))
        elif isinstance(done.err_value, LogTrimmed):
            self.tell(LogStartAdvanced(done.err_value.first_offset))
        else:
            self.tell(LogReadFailed(str(done.err_value)))

    def _append(self, effect: AppendRecord) -> None:
        def appended(done: Result[int, PlatformError]) -> None:
            if isinstance(done, Ok):
                event = AppendCompleted(effect.record_id, done.ok_value)
            else:
                sent = isinstance(done.err_value, OutcomeUnknown)
                event = AppendCompleted(effect.record_id, None, sent)
            self._do(self._desk.on_append_completed(monotonic(), event))
            self.tell(event)

        self._log.append(Stream.CONFIGURATION, effect.body, appended)

    def _ask_records(self, effect: RequestRecords) -> None:
        self._send(effect.to, effect.wanted)

    def _send_records(self, effect: SendRecords) -> None:
        self._send(effect.to, effect.passed)

    def _activate_world(self, effect: ActivateConfiguration) -> None:
        log.info(
            "configuration in force", extra={"version": effect.cluster_spec.version}
        )
        self._activate(effect)

    def _report(self, effect: ReportSkipped) -> None:
        skipped = effect.skipped
        details = {"offset": skipped.offset, "reason": str(skipped.reason)}
        log.error("configuration record skipped", extra=details)

    def _audit(self, effect: WriteAuditEntry) -> None:
        entry = effect.entry
        details = {
            "operator": entry.operator,
            "action": entry.action,
            "code": str(entry.code),
            "reason": entry.message,
        }
        log.warning("operator refused", extra=details)

    def _reply_operator(self, effect: OperatorReply) -> None:
        self._reply(effect)


_ACTIONS = {
    ReadLog: ConfigurationDriver._read,
    AppendRecord: ConfigurationDriver._append,
    RequestRecords: ConfigurationDriver._ask_records,
    SendRecords: ConfigurationDriver._send_records,
    ActivateConfiguration: ConfigurationDriver._activate_world,
    ReportSkipped: ConfigurationDriver._report,
    WriteAuditEntry: ConfigurationDriver._audit,
    OperatorReply: ConfigurationDriver._reply_operator,
}
