"""Submission ids issued by an entry host for later use."""

import enum
from collections import OrderedDict

from jackdawspur.model import HostId, SubmissionId

__all__ = ["IdIssuer", "IdState"]

ISSUED_ID_LIFETIME_S = 3600.0
MAX_ISSUED_IDS = 100_000


class IdState(enum.Enum):
    """State of a submission id at this host.

    `UNUSED`: issued, not used yet. `SPENT`: used, expired, dropped, issued to another
    customer or never issued. `FOREIGN`: owned by another host.
    """

    UNUSED = "unused"
    SPENT = "spent"
    FOREIGN = "foreign"


class IdIssuer:
    """Create submission ids, and keep the issued ids that are still unused.

    An id that is not among the unused ones starts nothing: it was used, has expired,
    was dropped when too many were unused, or was never issued. So a job whose answer
    is no longer stored cannot run again.
    """

    def __init__(self, local_id: HostId) -> None:
        self._local_id = local_id
        self._next = 1
        self._unused: OrderedDict[SubmissionId, _IssuedId] = OrderedDict()

    def new_id(self) -> SubmissionId:
        """Return an id for immediate use."""
        submission = SubmissionId(self._local_id, self._next)
        self._next += 1
        return submission

    def issue(self, customer: str, count: int, now: float) -> tuple[SubmissionId, ...]:
        """Return ids that the customer may use later, through any entry host."""
        self._drop_expired(now)
        ids = tuple(self.new_id() for _ in range(count))
        for submission in ids:
            self._unused[submission] = _IssuedId(customer, now + ISSUED_ID_LIFETIME_S)
        while len(self._unused) > MAX_ISSUED_IDS:
            self._unused.popitem(last=False)
        return ids

    def id_state(self, submission: SubmissionId, customer: str, now: float) -> IdState:
        """Return the state of an id for the customer; only `UNUSED` permits a start."""
        if submission.owner != self._local_id:
            return IdState.FOREIGN
        self._drop_expired(now)
        issued = self._unused.get(submission)
        if issued is None or issued.customer != customer:
            return IdState.SPENT
        return IdState.UNUSED

    def mark_used(self, submission: SubmissionId) -> None:
        """Mark an issued id as used."""
        self._unused.pop(submission, None)

    def _drop_expired(self, now: float) -> None:
        while self._unused:
            submission, issued = next(iter(self._unused.items()))
            if issued.expires > now:
                return
            del self._unused[submission]


class _IssuedId:
    __slots__ = ("customer", "expires")

    def __init__(self, customer: str, expires: float) -> None:
        self.customer = customer
        self.expires = expires
