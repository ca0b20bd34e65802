"""A TCP proxy on the loopback address whose passage can be closed."""

import selectors
import socket
import time
from contextlib import suppress
from enum import Enum
from threading import Thread

__all__ = ["Proxy", "ProxyMode"]

CHUNK_BYTES = 65_536
# How soon a change of the passage is seen.
POLL_S = 0.02
# A peer that reads nothing for this long is cut off, so that it can't stop the others.
SEND_S = 1.0


class ProxyMode(Enum):
    """Say what becomes of bytes; a silent proxy keeps connections open."""

    OPEN = "open"
    SILENT = "silent"
    RESET = "reset"


class Proxy:
    """Pass connections on to a port of this machine, on a thread of its own."""

    def __init__(self, port: int, target: int) -> None:
        self._target = target
        self._passage = ProxyMode.OPEN
        self._pairs: dict[socket.socket, socket.socket] = {}
        self._selector = selectors.DefaultSelector()
        self._listener = socket.create_server(("127.0.0.1", port))
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._closing = False
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """Return where it listens."""
        return self._listener.getsockname()[1]

    @property
    def mode(self) -> ProxyMode:
        """Return what becomes of bytes now."""
        return self._passage

    @mode.setter
    def mode(self, passage: ProxyMode) -> None:
        self._passage = passage

    def close(self) -> None:
        """End the thread and all connections."""
        self._closing = True
        self._thread.join()

    def _run(self) -> None:
        while not self._closing:
            if self._passage is ProxyMode.RESET:
                self._drop_all()
            if self._passage is ProxyMode.SILENT:
                # The kernel goes on accepting and buffering; nobody reads or answers.
                time.sleep(POLL_S)
                continue
            self._before_wait()
            ready = self._selector.select(POLL_S)
            for key, _events in ready:
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj in self._pairs:
                    self._pass(key.fileobj)
        self._drop_all()
        self._listener.close()

    def _before_wait(self) -> None:
        """Do what a change of the passage asks for."""

    def _accept(self) -> None:
        near, _address = self._listener.accept()
        near.settimeout(SEND_S)
        try:
            far = socket.create_connection(("127.0.0.1", self._target), timeout=SEND_S)
        except OSError:
            # Nobody listens there: the caller sees the same as without a proxy.
            near.close()
            return
        self._pairs[near], self._pairs[far] = far, near
        for one in (near, far):
            self._watch(one)

    def _watch(self, one: socket.socket) -> None:
        self._selector.register(one, selectors.EVENT_READ)

    def _pass(self, source: socket.socket) -> None:
        self._send(source, self._read(source))

    def _read(self, source: socket.socket) -> bytes:
        try:
            return source.recv(CHUNK_BYTES)
        except OSError:
            return b""

    def _send(self, source: socket.socket, data: bytes) -> None:
        """Pass bytes on; none, or an error, tell the other side that one broke off."""
        try:
            if data:
                self._pairs[source].sendall(data)
                return
        except OSError:
            pass
        self._drop(source)

    def _drop(self, one: socket.socket) -> None:
        other = self._pairs.pop(one)
        self._pairs.pop(other, None)
        for end in (one, other):
            with suppress(KeyError):
                self._selector.unregister(end)
            with suppress(OSError):
                end.close()

    def _drop_all(self) -> None:
        while self._pairs:
            self._drop(next(iter(self._pairs)))
