"""Allocation of ports that no other deployment on this machine uses."""

import random
import socket

__all__ = ["PortBlock"]

# Below the kernel's range of ephemeral ports: an outgoing connection could take such a
# port after its allocation, before the process that listens on it has started.
FIRST_PORT = 20_000
LAST_PORT = 32_000
BLOCK_SIZE = 64


class PortBlock:
    """The ports of one deployment; the first stays bound to reserve the block."""

    def __init__(self) -> None:
        self._reservation = socket.socket()
        self._next_port = self._reserve_block() + 1
        self._end_port = self._next_port + BLOCK_SIZE - 1

    def allocate(self, count: int) -> list[int]:
        """Return `count` ports that were not allocated before."""
        ports = list(range(self._next_port, self._next_port + count))
        self._next_port += count
        if self._next_port > self._end_port:
            raise ValueError(f"a deployment can use {BLOCK_SIZE - 1} ports at most")
        return ports

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()

    def _reserve_block(self) -> int:
        blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
        random.shuffle(blocks)
        for first in blocks:
            try:
                self._reservation.bind(("127.0.0.1", first))
            except OSError:
                # Another deployment has reserved it.
                continue
            if all(_is_free(port) for port in range(first + 1, first + BLOCK_SIZE)):
                return first
            self._reservation.close()
            self._reservation = socket.socket()
        raise OSError("all blocks of ports are in use")


def _is_free(port: int) -> bool:
    """Return whether a server can listen on a port.

    A deployment that has released its block may still be closing its listeners.
    """
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True
