"""Rendezvous hashing, by which hosts agree on a choice without a message."""

import hashlib
from functools import lru_cache

__all__ = ["rendezvous_hash"]

DIGEST_BYTES = 8
HASHES_KEPT = 8192


@lru_cache(maxsize=HASHES_KEPT)
def rendezvous_hash(*parts: str) -> int:
    """Return a number that all hosts agree on for these texts."""
    text = "\x00".join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)
