"""At most once: issued ids, idempotency keys and remembered answers."""

from jackdawspur.ownership._claims import KEY_WINDOW_S, ClaimTable
from jackdawspur.ownership._ids import IdIssuer, IdState

__all__ = ["KEY_WINDOW_S", "ClaimTable", "IdIssuer", "IdState"]
