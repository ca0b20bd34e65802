"""Driver that executes the effects of the configuration replica and operator API."""

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
    """Connects replica and operator API to the log, the links and the core."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        operator_api: OperatorApi,
        platform_log: Log,
        send: Callable[[HostId, Message], object],
        activate: Callable[[ActivateConfiguration], None],
        reply: Callable[[OperatorReply], None],
    ) -> None:
        self._replica = replica
        self._operator_api = operator_api
        self._log = platform_log
        self._send = send
        self._activate = activate
        self._reply = reply

    def handle_event(self, event: ReplicaEvent) -> None:
        """Process an event, then answer operators whose requests it resolved."""
        now = monotonic()
        self._execute(self._replica.handle(now, event))
        self._execute(self._operator_api.resolve_pending(now))

    def handle_request(self, request: OperatorRequest) -> None:
        """Process an operator's request."""
        self._execute(self._operator_api.handle(monotonic(), request))

    def tick(self) -> None:
        """Process a tick; called periodically."""
        self.handle_event(ReplicaTick(time()))

    def _execute(self, effects: Iterable[object]) -> None:
        for effect in effects:
            _EFFECT_HANDLERS[type(effect)](self, effect)

    def _read_log(self, effect: ReadLog) -> None:
        self._log.read(
            Stream.CONFIGURATION, effect.offset, effect.wait_ms, self._on_read
        )

    def _on_read(self, outcome: Result[tuple[LogRecord, ...], PlatformError]) -> None:
        if isinstance(outcome, Ok):
            self.handle_event(LogRecordsRead(outcome.ok_value))
        elif isinstance(outcome.err_value, LogTrimmed):
            self.handle_event(LogStartAdvanced(outcome.err_value.first_offset))
        else:
            self.handle_event(LogReadFailed(str(outcome.err_value)))

    def _append_record(self, effect: AppendRecord) -> None:
        def on_appended(outcome: Result[int, PlatformError]) -> None:
            if isinstance(outcome, Ok):
                event = AppendCompleted(effect.record_id, outcome.ok_value)
            else:
                maybe_sent = isinstance(outcome.err_value, OutcomeUnknown)
                event = AppendCompleted(effect.record_id, None, maybe_sent)
            self._execute(self._operator_api.on_append_completed(monotonic(), event))
            self.handle_event(event)

        self._log.append(Stream.CONFIGURATION, effect.body, on_appended)

    def _request_records(self, effect: RequestRecords) -> None:
        self._send(effect.to, effect.wanted)

    def _send_records(self, effect: SendRecords) -> None:
        self._send(effect.to, effect.passed)

    def _activate_configuration(self, effect: ActivateConfiguration) -> None:
        log.info(
            "configuration in force", extra={"version": effect.cluster_spec.version}
        )
        self._activate(effect)

    def _report_skipped(self, effect: ReportSkipped) -> None:
        skipped = effect.skipped
        details = {"offset": skipped.offset, "reason": str(skipped.reason)}
        log.error("configuration record skipped", extra=details)

    def _log_refusal(self, effect: WriteAuditEntry) -> None:
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


_EFFECT_HANDLERS = {
    ReadLog: ConfigurationDriver._read_log,
    AppendRecord: ConfigurationDriver._append_record,
    RequestRecords: ConfigurationDriver._request_records,
    SendRecords: ConfigurationDriver._send_records,
    ActivateConfiguration: ConfigurationDriver._activate_configuration,
    ReportSkipped: ConfigurationDriver._report_skipped,
    WriteAuditEntry: ConfigurationDriver._log_refusal,
    OperatorReply: ConfigurationDriver._reply_operator,
}
