"""At-most-once execution by issued ids and idempotency keys."""

from jackdawspur.ownership._claims import IDEMPOTENCY_KEY_TTL_S, IdempotencyKeyTable
from jackdawspur.ownership._ids import IdIssuer, IdState

__all__ = ["IDEMPOTENCY_KEY_TTL_S", "IdIssuer", "IdState", "IdempotencyKeyTable"]
