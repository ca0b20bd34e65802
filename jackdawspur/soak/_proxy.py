"""A TCP proxy on the loopback address that can stop or reset its connections."""

import selectors
import socket
import time
from contextlib import suppress
from enum import Enum
from threading import Thread

__all__ = ["Proxy", "ProxyMode"]

CHUNK_BYTES = 65_536
# The longest wait for data or connections, after which the mode is checked again.
POLL_INTERVAL_S = 0.02
# A peer that reads nothing for this long is disconnected, so that it can't block the
# other connections.
SEND_TIMEOUT_S = 1.0


class ProxyMode(Enum):
    """Handling of connections; a silent proxy keeps them open but forwards nothing."""

    OPEN = "open"
    SILENT = "silent"
    RESET = "reset"


class Proxy:
    """Forward connections to a local port, on its own thread."""

    def __init__(self, port: int, target: int) -> None:
        self._target_port = target
        self._mode = ProxyMode.OPEN
        self._pairs: dict[socket.socket, socket.socket] = {}
        self._selector = selectors.DefaultSelector()
        self._listener = socket.create_server(("127.0.0.1", port))
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._closing = False
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """Return the port on which the proxy listens."""
        return self._listener.getsockname()[1]

    @property
    def mode(self) -> ProxyMode:
        """Return the current mode."""
        return self._mode

    @mode.setter
    def mode(self, new_mode: ProxyMode) -> None:
        self._mode = new_mode

    def close(self) -> None:
        """Stop the thread and close all connections."""
        self._closing = True
        self._thread.join()

    def _run(self) -> None:
        while not self._closing:
            if self._mode is ProxyMode.RESET:
                self._close_all()
            if self._mode is ProxyMode.SILENT:
                # The kernel keeps accepting and buffering; nothing is read or answered.
                time.sleep(POLL_INTERVAL_S)
                continue
            self._before_select()
            ready = self._selector.select(POLL_INTERVAL_S)
            for key, _events in ready:
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj in self._pairs:
                    self._forward(key.fileobj)
        self._close_all()
        self._listener.close()

    def _before_select(self) -> None:
        """Apply changes of settings before each wait; a hook for subclasses."""

    def _accept(self) -> None:
        client, _address = self._listener.accept()
        client.settimeout(SEND_TIMEOUT_S)
        try:
            server = socket.create_connection(
                ("127.0.0.1", self._target_port), timeout=SEND_TIMEOUT_S
            )
        except OSError:
            # Nothing listens there: close the connection, as without a proxy.
            client.close()
            return
        self._pairs[client], self._pairs[server] = server, client
        for end in (client, server):
            self._register(end)

    def _register(self, sock: socket.socket) -> None:
        self._selector.register(sock, selectors.EVENT_READ)

    def _forward(self, source: socket.socket) -> None:
        self._send(source, self._read(source))

    def _read(self, source: socket.socket) -> bytes:
        try:
            return source.recv(CHUNK_BYTES)
        except OSError:
            return b""

    def _send(self, source: socket.socket, data: bytes) -> None:
        """Forward bytes to the other end.

        Close both ends on an error, or if `data` is empty, which means end of file or a
        failed read.
        """
        try:
            if data:
                self._pairs[source].sendall(data)
                return
        except OSError:
            pass
        self._close_pair(source)

    def _close_pair(self, sock: socket.socket) -> None:
        other = self._pairs.pop(sock)
        self._pairs.pop(other, None)
        for end in (sock, other):
            with suppress(KeyError):
                self._selector.unregister(end)
            with suppress(OSError):
                end.close()

    def _close_all(self) -> None:
        while self._pairs:
            self._close_pair(next(iter(self._pairs)))
