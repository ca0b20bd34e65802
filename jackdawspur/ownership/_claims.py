"""Idempotency keys of callers, bound to submissions by the log's order."""

from collections import OrderedDict
from dataclasses import dataclass

from jackdawspur.model import SubmissionId

__all__ = ["IDEMPOTENCY_KEY_TTL_S", "MAX_CLAIMS", "IdempotencyKeyTable"]

IDEMPOTENCY_KEY_TTL_S = 600.0
MAX_CLAIMS = 50_000


@dataclass(frozen=True, slots=True)
class _KeyName:
    customer: str
    key: str


@dataclass(frozen=True, slots=True)
class _Binding:
    submission: SubmissionId
    expires: float


class IdempotencyKeyTable:
    """Fold claims in log order: the first claim of a key names its submission.

    Every host folds the same records in the same order, so all agree on the owner,
    also when two hosts claimed at once or one of them was paused meanwhile.
    """

    # A full table refuses new keys: forgetting one early would let its job run again.
    @property
    def is_full(self) -> bool:
        """Tell whether this host should claim no further keys."""
        return len(self._bound) >= MAX_CLAIMS

    def __init__(self) -> None:
        self._bound: OrderedDict[_KeyName, _Binding] = OrderedDict()

    def apply_claim(
        self, customer: str, key: str, submission: SubmissionId, now: float
    ) -> SubmissionId:
        """Return the submission that owns the key after this claim."""
        self._drop_expired(now)
        name = _KeyName(customer, key)
        binding = self._bound.get(name)
        if binding is None:
            self._bound[name] = _Binding(submission, now + IDEMPOTENCY_KEY_TTL_S)
            return submission
        return binding.submission

    def find(self, customer: str, key: str, now: float) -> SubmissionId | None:
        """Return the submission that owns the key, if one is known."""
        self._drop_expired(now)
        binding = self._bound.get(_KeyName(customer, key))
        return binding.submission if binding else None

    def _drop_expired(self, now: float) -> None:
        while self._bound:
            name, binding = next(iter(self._bound.items()))
            if binding.expires > now:
                return
            del self._bound[name]
