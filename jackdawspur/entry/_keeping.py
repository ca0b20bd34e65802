"""Carrying out what the keeper of the configuration and the operators' desk ask."""

import logging
from collections.abc import Callable, Iterable
from time import monotonic, time

from result import Ok, Result

from jackdawspur.configuration import (
    ActivateWorld,
    AppendEnded,
    AppendRecord,
    AskRecords,
    Audited,
    DeskReply,
    DeskRequest,
    Keeper,
    KeeperEvent,
    KeeperTick,
    LogCut,
    LogFailed,
    LogRead,
    OperatorDesk,
    ReadLog,
    ReportSkipped,
    SendRecords,
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
        keeper: Keeper,
        desk: OperatorDesk,
        platform_log: Log,
        send: Callable[[HostId, Message], object],
        activate: Callable[[ActivateWorld], None],
        reply: Callable[[DeskReply], None],
    ) -> None:
        self._keeper = keeper
        self._desk = desk
        self._log = platform_log
        self._send = send
        self._activate = activate
        self._reply = reply

    def tell(self, event: KeeperEvent) -> None:
        """Let the keeper handle an event, then let the desk see what it settled."""
        now = monotonic()
        self._do(self._keeper.handle(now, event))
        self._do(self._desk.settle(now))

    def ask(self, request: DeskRequest) -> None:
        """Let the desk handle an operator's request."""
        self._do(self._desk.handle(monotonic(), request))

    def tick(self) -> None:
        """Let time pass."""
        self.tell(KeeperTick(time()))

    def _do(self, effects: Iterable[object]) -> None:
        for effect in effects:
            _ACTIONS[type(effect)](self, effect)

    def _read(self, effect: ReadLog) -> None:
        self._log.read(
            Stream.CONFIGURATION, effect.offset, effect.wait_ms, self._on_read
        )

    def _on_read(self, done: Result[tuple[LogRecord, ...], PlatformError]) -> None:
        if isinstance(done, Ok):
            self.tell(LogRead(done.ok_value))
        elif isinstance(done.err_value, LogTrimmed):
            self.tell(LogCut(done.err_value.first))
        else:
            self.tell(LogFailed(str(done.err_value)))

    def _append(self, effect: AppendRecord) -> None:
        def appended(done: Result[int, PlatformError]) -> None:
            if isinstance(done, Ok):
                event = AppendEnded(effect.record, done.ok_value)
            else:
                sent = isinstance(done.err_value, OutcomeUnknown)
                event = AppendEnded(effect.record, None, sent)
            self._do(self._desk.append_ended(monotonic(), event))
            self.tell(event)

        self._log.append(Stream.CONFIGURATION, effect.body, appended)

    def _ask_records(self, effect: AskRecords) -> None:
        self._send(effect.to, effect.wanted)

    def _send_records(self, effect: SendRecords) -> None:
        self._send(effect.to, effect.passed)

    def _activate_world(self, effect: ActivateWorld) -> None:
        log.info("configuration in force", extra={"version": effect.world.version})
        self._activate(effect)

    def _report(self, effect: ReportSkipped) -> None:
        skipped = effect.skipped
        details = {"offset": skipped.offset, "reason": str(skipped.reason)}
        log.error("configuration record skipped", extra=details)

    def _audit(self, effect: Audited) -> None:
        entry = effect.entry
        details = {
            "operator": entry.operator,
            "action": entry.action,
            "code": str(entry.code),
            "reason": entry.message,
        }
        log.warning("operator refused", extra=details)

    def _reply_operator(self, effect: DeskReply) -> None:
        self._reply(effect)


_ACTIONS = {
    ReadLog: ConfigurationDriver._read,
    AppendRecord: ConfigurationDriver._append,
    AskRecords: ConfigurationDriver._ask_records,
    SendRecords: ConfigurationDriver._send_records,
    ActivateWorld: ConfigurationDriver._activate_world,
    ReportSkipped: ConfigurationDriver._report,
    Audited: ConfigurationDriver._audit,
    DeskReply: ConfigurationDriver._reply_operator,
}
