"""Parsing of addresses in settings."""

__all__ = ["split_address"]


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
