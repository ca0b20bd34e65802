"""Ports that no other deployment on this machine uses."""

import random
import socket

__all__ = ["PortBlock"]

# Below the ports that the kernel gives to outgoing connections: one of those could
# take a port between its choice and the start of the process that is to listen on it.
FIRST = 20_000
LAST = 32_000
BLOCK = 64


class PortBlock:
    """Hold the ports of one deployment; the first stays bound and marks the block."""

    def __init__(self) -> None:
        self._mark = socket.socket()
        self._next = self._claim() + 1
        self._end = self._next + BLOCK - 1

    def take(self, count: int) -> list[int]:
        """Return ports that were not taken before."""
        ports = list(range(self._next, self._next + count))
        self._next += count
        if self._next > self._end:
            raise ValueError(f"a deployment has {BLOCK - 1} ports, no more")
        return ports

    def close(self) -> None:
        """Leave the block to others."""
        self._mark.close()

    def _claim(self) -> int:
        blocks = list(range(FIRST, LAST, BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            try:
                self._mark.bind(("127.0.0.1", first))
            except OSError:
                # Another deployment holds it.
                continue
            if all(_is_free(port) for port in range(first + 1, first + BLOCK)):
                return first
            self._mark.close()
            self._mark = socket.socket()
        raise OSError("every block of ports is held")


def _is_free(port: int) -> bool:
    """Tell whether a server may listen on a port.

    A deployment that has left its block may still be closing what listened there.
    """
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True
