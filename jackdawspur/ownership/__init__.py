"""At most once: issued ids, idempotency keys and remembered answers."""

from jackdawspur.ownership._claims import IDEMPOTENCY_KEY_TTL_S, IdempotencyKeyTable
from jackdawspur.ownership._ids import IdIssuer, IdState

__all__ = ["IDEMPOTENCY_KEY_TTL_S", "IdIssuer", "IdState", "IdempotencyKeyTable"]
