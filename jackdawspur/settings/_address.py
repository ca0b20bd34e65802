"""Addresses as settings files give them."""

__all__ = ["MAX_PORT", "check_address"]

MAX_PORT = 65_535


def check_address(text: str) -> str:
    """Return an address in numbers with its port; raise `ValueError`."""
    host, separator, port = text.rpartition(":")
    parts = host.split(".")
    numbers = len(parts) == 4 and all(p.isdigit() and int(p) <= 255 for p in parts)
    if not separator or not numbers or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("expected an address such as 127.0.0.1:18001")
    return text
