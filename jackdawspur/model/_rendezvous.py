"""Rendezvous hashing, by which hosts make the same choice without communication."""

import hashlib
from functools import lru_cache

__all__ = ["rendezvous_hash"]

DIGEST_BYTES = 8
MAX_CACHED_HASHES = 8192


@lru_cache(maxsize=MAX_CACHED_HASHES)
def rendezvous_hash(*parts: str) -> int:
    """Return a hash of the texts that is the same on all hosts."""
    text = "\x00".join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)
