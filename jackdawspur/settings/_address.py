"""Validation of addresses in settings files and in entries in the store."""

import ipaddress

__all__ = ["MAX_PORT", "check_address"]

MAX_PORT = 65_535


def check_address(text: str, min_port: int = 0) -> str:
    """Return a numeric IPv4 address with its port; raise `ValueError` if invalid.

    Port 0 lets a server listen on any free port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        port_number = None
    else:
        port_number = int(port) if port.isascii() and port.isdigit() else None
    if port_number is None or not min_port <= port_number <= MAX_PORT:
        raise ValueError("expected an address such as 127.0.0.1:18001")
    return text
