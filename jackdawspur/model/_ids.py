"""Identifiers of hosts, upstreams, submissions and tasks."""

from dataclasses import dataclass
from functools import lru_cache
from typing import Self

from jackdawspur.exceptions import JackdawspurError

__all__ = [
    "HostId",
    "InvalidId",
    "ModelError",
    "SubmissionId",
    "TaskId",
    "UpstreamId",
]

PART_SEPARATOR = "."
TASK_SEPARATOR = "/"
MAX_CACHED_IDS = 4096
MAX_NUMBER = 2**63 - 1


class ModelError(JackdawspurError):
    """Base class of errors of the data model."""


class InvalidId(ModelError):
    """Raised when a text is not an identifier of the expected kind."""


@dataclass(frozen=True, slots=True, order=True)
class UpstreamId:
    """An upstream's name and its availability zone."""

    zone: str
    name: str

    def __str__(self) -> str:
        return f"{self.zone}{PART_SEPARATOR}{self.name}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that a text denotes; raise `InvalidId` if malformed."""
        parts = text.split(PART_SEPARATOR)
        if len(parts) != 2 or not all(parts):
            raise InvalidId(f"not an upstream id: {text!r}")
        return cls(*parts)


@dataclass(frozen=True, slots=True, order=True)
class HostId:
    """One incarnation of an entry host.

    The incarnation grows with every start, so a restarted host is a different owner.
    """

    zone: str
    name: str
    incarnation: int

    def __str__(self) -> str:
        return PART_SEPARATOR.join((self.zone, self.name, f"{self.incarnation:x}"))

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that a text denotes; raise `InvalidId` if malformed."""
        try:
            zone, name, incarnation = text.split(PART_SEPARATOR)
            return cls(zone, name, _parse_number(incarnation, 16))
        except ValueError as error:
            raise InvalidId(f"not a host id: {text!r}") from error

    def same_host(self, other: "HostId") -> bool:
        """Return whether both are incarnations of the same entry host."""
        return self.zone == other.zone and self.name == other.name


@dataclass(frozen=True, slots=True, order=True)
class SubmissionId:
    """A submission, identified by its owner and the owner's counter."""

    owner: HostId
    sequence: int

    def __str__(self) -> str:
        return f"{self.owner}{PART_SEPARATOR}{self.sequence:x}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that a text denotes; raise `InvalidId` if malformed."""
        owner, _, sequence = text.rpartition(PART_SEPARATOR)
        try:
            return cls(HostId.parse(owner), _parse_number(sequence, 16))
        except ValueError as error:
            raise InvalidId(f"not a submission id: {text!r}") from error


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """A task, identified by its submission and its index in the job."""

    submission: SubmissionId
    index: int

    def __str__(self) -> str:
        return f"{self.submission}{TASK_SEPARATOR}{self.index}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that a text denotes; raise `InvalidId` if malformed."""
        submission, _, index = text.rpartition(TASK_SEPARATOR)
        try:
            return cls(_parse_submission(submission), _parse_number(index, 10))
        except ValueError as error:
            raise InvalidId(f"not a task id: {text!r}") from error


def _parse_number(text: str, base: int) -> int:
    """Return a number that messages can carry; raise `ValueError` if out of range.

    Ids come from callers. A larger number couldn't be encoded in a message to the id's
    owner, and the host that forwards the request would fail.
    """
    number = int(text, base)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number out of range: {text[:20]!r}")
    return number


# Results of a job's tasks arrive together, so the submission id that they have in
# common is cached.
@lru_cache(maxsize=MAX_CACHED_IDS)
def _parse_submission(text: str) -> SubmissionId:
    return SubmissionId.parse(text)
