"""Addresses as settings write them and as sockets take them."""

__all__ = ["split_address"]


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
