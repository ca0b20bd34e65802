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
PARSED_IDS_KEPT = 4096
MAX_NUMBER = 2**63 - 1


class ModelError(JackdawspurError):
    """Base of errors in the objects of the world."""


class InvalidId(ModelError):
    """Raise when a text is not an identifier of the expected kind."""


@dataclass(frozen=True, slots=True, order=True)
class UpstreamId:
    """Name an upstream within its availability zone."""

    zone: str
    name: str

    def __str__(self) -> str:
        return f"{self.zone}{PART_SEPARATOR}{self.name}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that ``str`` wrote; raise `InvalidId`."""
        parts = text.split(PART_SEPARATOR)
        if len(parts) != 2 or not all(parts):
            raise InvalidId(f"not an upstream id: {text!r}")
        return cls(*parts)


@dataclass(frozen=True, slots=True, order=True)
class HostId:
    """Name one run of an entry host.

    The incarnation grows with every start, so a restarted host is another owner.
    """

    zone: str
    name: str
    incarnation: int

    def __str__(self) -> str:
        return PART_SEPARATOR.join((self.zone, self.name, f"{self.incarnation:x}"))

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that ``str`` wrote; raise `InvalidId`."""
        try:
            zone, name, incarnation = text.split(PART_SEPARATOR)
            return cls(zone, name, _number(incarnation, 16))
        except ValueError as error:
            raise InvalidId(f"not a host id: {text!r}") from error

    def same_host(self, other: "HostId") -> bool:
        """Tell whether both are runs of the same entry host."""
        return self.zone == other.zone and self.name == other.name


@dataclass(frozen=True, slots=True, order=True)
class SubmissionId:
    """Name a submission by its owner and the owner's counter."""

    owner: HostId
    sequence: int

    def __str__(self) -> str:
        return f"{self.owner}{PART_SEPARATOR}{self.sequence:x}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that ``str`` wrote; raise `InvalidId`."""
        owner, _, sequence = text.rpartition(PART_SEPARATOR)
        try:
            return cls(HostId.parse(owner), _number(sequence, 16))
        except ValueError as error:
            raise InvalidId(f"not a submission id: {text!r}") from error


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Name a task by its submission and its place in the job."""

    submission: SubmissionId
    index: int

    def __str__(self) -> str:
        return f"{self.submission}{TASK_SEPARATOR}{self.index}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the identifier that ``str`` wrote; raise `InvalidId`."""
        submission, _, index = text.rpartition(TASK_SEPARATOR)
        try:
            return cls(_parse_submission(submission), _number(index, 10))
        except ValueError as error:
            raise InvalidId(f"not a task id: {text!r}") from error


def _number(text: str, base: int) -> int:
    """Return a number that links can carry; raise `ValueError`.

    An id comes from callers. A larger number could not be packed into a message to
    its owner, and the host that tried to forward it would fail.
    """
    number = int(text, base)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number out of range: {text[:20]!r}")
    return number


# The tasks of one job come back together, so their common part is parsed once.
@lru_cache(maxsize=PARSED_IDS_KEPT)
def _parse_submission(text: str) -> SubmissionId:
    return SubmissionId.parse(text)
