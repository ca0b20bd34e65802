"""Idempotency keys of callers, bound to submissions in the order of the log."""

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
    """Submission of each key, set by the first claim of the key in the log.

    Every host applies the same records in the same order, so all agree on the owner,
    even if two hosts claimed a key at once or one of them was paused in between.
    """

    # A full table refuses new keys: if a key were dropped early, its job could run
    # again.
    @property
    def is_full(self) -> bool:
        """Return whether the table is full; then this host claims no more keys."""
        return len(self._bindings) >= MAX_CLAIMS

    def __init__(self) -> None:
        self._bindings: OrderedDict[_KeyName, _Binding] = OrderedDict()

    def apply_claim(
        self, customer: str, key: str, submission: SubmissionId, now: float
    ) -> SubmissionId:
        """Apply a claim, and return the submission that owns the key."""
        self._drop_expired(now)
        name = _KeyName(customer, key)
        binding = self._bindings.get(name)
        if binding is None:
            self._bindings[name] = _Binding(submission, now + IDEMPOTENCY_KEY_TTL_S)
            return submission
        return binding.submission

    def find(self, customer: str, key: str, now: float) -> SubmissionId | None:
        """Return the submission that owns the key, or None if none is known."""
        self._drop_expired(now)
        binding = self._bindings.get(_KeyName(customer, key))
        return binding.submission if binding else None

    def _drop_expired(self, now: float) -> None:
        while self._bindings:
            name, binding = next(iter(self._bindings.items()))
            if binding.expires > now:
                return
            del self._bindings[name]
