"""Submission ids that an entry host hands out and accepts back."""

import enum
from collections import OrderedDict

from jackdawspur.model import HostId, SubmissionId

__all__ = ["IdIssuer", "IdState"]

ISSUED_ID_LIFETIME_S = 3600.0
MAX_ISSUED_IDS = 100_000


class IdState(enum.Enum):
    """Tell what this host knows of a submission id it is said to own."""

    UNUSED = "unused"
    SPENT = "spent"
    FOREIGN = "foreign"


class IdIssuer:
    """Number submissions and remember which issued ids are still unused.

    Only unused ids are kept. An id that is not among them was used, has expired or
    was never issued, and must not run: so a forgotten job cannot run again.
    """

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._next = 1
        self._unused: OrderedDict[SubmissionId, _Issue] = OrderedDict()

    def new_id(self) -> SubmissionId:
        """Return an id for a submission that starts now."""
        submission = SubmissionId(self._own, self._next)
        self._next += 1
        return submission

    def issue(self, customer: str, count: int, now: float) -> tuple[SubmissionId, ...]:
        """Return ids that the customer may use later, from any entry host."""
        self._drop_expired(now)
        ids = tuple(self.new_id() for _ in range(count))
        for submission in ids:
            self._unused[submission] = _Issue(customer, now + ISSUED_ID_LIFETIME_S)
        while len(self._unused) > MAX_ISSUED_IDS:
            self._unused.popitem(last=False)
        return ids

    def id_state(self, submission: SubmissionId, customer: str, now: float) -> IdState:
        """Tell whether the customer may start a job under the id."""
        if submission.owner != self._own:
            return IdState.FOREIGN
        self._drop_expired(now)
        issue = self._unused.get(submission)
        if issue is None or issue.customer != customer:
            return IdState.SPENT
        return IdState.UNUSED

    def mark_used(self, submission: SubmissionId) -> None:
        """Mark an issued id as used."""
        self._unused.pop(submission, None)

    def _drop_expired(self, now: float) -> None:
        while self._unused:
            submission, issue = next(iter(self._unused.items()))
            if issue.expires > now:
                return
            del self._unused[submission]


class _Issue:
    __slots__ = ("customer", "expires")

    def __init__(self, customer: str, expires: float) -> None:
        self.customer = customer
        self.expires = expires
