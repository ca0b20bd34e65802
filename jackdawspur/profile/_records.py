"""Reading of hosts' log lines into records of requests."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.runs import Decision, JobEnd

__all__ = ["LogError", "LogRecords", "RequestRecord", "read_logs"]

JOB_ENDED = "job ended"
HOST_STARTED = "host started"
REDIRECTED = Decision.JOB_PASSED_ON.value
# Decisions of a leader that end a job without its result.
LOSSES = frozenset(
    decision.value
    for decision in (
        Decision.JOB_REFUSED,
        Decision.JOB_OUT_OF_TIME,
        Decision.JOB_HOPELESS,
        Decision.JOB_FAILED,
    )
)
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Collectors write the time and the host before each line, which starts with a brace.
LOG_OBJECT = re.compile(r"\{.*\}\s*$")


class LogError(JackdawspurError):
    """Raised when files can't be read as logs; the text names all of them."""


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request that was answered; times in milliseconds since its arrival.

    `at` is the time of the answer in seconds since 1970. `cause` is the decision that
    cost the request, empty if it was served, and `inputs` are what it was based on.
    """

    job: str
    route: str
    priority: int
    zone: str
    leader: str
    end: str
    at: float
    took_ms: float
    reached_ms: float | None = None
    first_start_ms: float | None = None
    last_start_ms: float | None = None
    ended_ms: float | None = None
    cause: str = ""
    redirected: bool = False
    inputs: Mapping[str, object] = field(default_factory=dict)

    @property
    def served(self) -> bool:
        """Return whether the caller received a result."""
        return self.end == JobEnd.COMPLETE.value


@dataclass(frozen=True, slots=True)
class LogRecords:
    """Requests of all logs; `damaged_lines` and `dropped_lines` are missing.

    Damaged lines were cut off; hosts drop lines beyond their maximum rate.
    """

    requests: tuple[RequestRecord, ...]
    damaged_lines: int
    dropped_lines: int


class _AnsweredJob(msgspec.Struct):
    """The log line of an answer."""

    time: str
    host_name: str
    job: str
    route: str
    end: str
    took_ms: float
    priority: int = 0
    leader: str = ""
    reason: str = ""
    reached_ms: float | None = None
    first_start_ms: float | None = None
    last_start_ms: float | None = None
    ended_ms: float | None = None


def read_logs(paths: Iterable[Path]) -> LogRecords:
    """Return the records of all logs; raise `LogError` if any is no log."""
    reader = _LogReader()
    errors = []
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            errors.append(f"{path}: {error.strerror}")
            continue
        if not reader.read(text.splitlines()):
            errors.append(f"{path}: line 1: expected log lines in JSON")
    if errors:
        raise LogError("; ".join(errors))
    return reader.records()


class _LogReader:
    """Collects the lines about requests from the logs of several hosts."""

    def __init__(self) -> None:
        self._answered: list[_AnsweredJob] = []
        self._zones: dict[str, str] = {}
        self._losses: dict[str, tuple[str, Mapping[str, object]]] = {}
        self._redirected: set[str] = set()
        self._damaged_lines = 0
        self._dropped_lines = 0

    def read(self, lines: Iterable[str]) -> bool:
        """Read the lines of one log; return whether there is any log line in it."""
        found = False
        for line in lines:
            if "{" not in line:
                continue
            decoded = _decode(line)
            if decoded is None:
                self._damaged_lines += 1
                continue
            found = True
            self._add(decoded)
        return found

    def _add(self, line: dict[str, object]) -> None:
        dropped = line.get("left_out", 0)
        self._dropped_lines += dropped if isinstance(dropped, int) else 0
        message = line["message"]
        if message == JOB_ENDED:
            try:
                self._answered.append(msgspec.convert(line, _AnsweredJob))
            except msgspec.ValidationError:
                self._damaged_lines += 1
        elif message == HOST_STARTED and "host" in line and "zone" in line:
            self._zones[str(line["host"])] = str(line["zone"])
        elif message in LOSSES:
            self._losses[str(line.get("job"))] = (message, line.get("inputs", {}))
        elif message == REDIRECTED:
            self._redirected.add(str(line.get("job")))

    def records(self) -> LogRecords:
        """Return the requests with the decisions of their leaders."""
        requests = tuple(self._to_record(line) for line in self._answered)
        return LogRecords(requests, self._damaged_lines, self._dropped_lines)

    def _to_record(self, line: _AnsweredJob) -> RequestRecord:
        decision, inputs = self._losses.get(line.job, ("", {}))
        cause = str(inputs.get("cause") or decision or line.reason or "unknown")
        return RequestRecord(
            job=line.job,
            route=line.route,
            priority=line.priority,
            zone=self._zones.get(line.host_name, "unknown"),
            leader=line.leader or "none",
            end=line.end,
            at=_seconds(line.time),
            took_ms=line.took_ms,
            reached_ms=line.reached_ms,
            first_start_ms=line.first_start_ms,
            last_start_ms=line.last_start_ms,
            ended_ms=line.ended_ms,
            cause="" if line.end == JobEnd.COMPLETE.value else cause,
            redirected=line.job in self._redirected,
            inputs=inputs,
        )


def _decode(line: str) -> dict[str, object] | None:
    """Return a log line's object, None if it is damaged."""
    found = LOG_OBJECT.search(line)
    if found is None:
        return None
    try:
        decoded = msgspec.json.decode(found.group())
    except msgspec.DecodeError:
        return None
    return decoded if isinstance(decoded, dict) and "message" in decoded else None


def _seconds(text: str) -> float:
    try:
        return datetime.strptime(text, TIME_FORMAT).timestamp()
    except ValueError:
        return 0.0
