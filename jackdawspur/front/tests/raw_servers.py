"""HTTP servers that answer each request with the same body."""

import socket
import threading
from contextlib import suppress

__all__ = ["RawServer"]

BLANK_LINE = b"\r\n\r\n"


class RawServer:
    """Answers each request with `status` and `body`, if it isn't `silent`."""

    def __init__(self) -> None:
        self.status = 200
        self.body = b"{}"
        self.silent = False
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as IP:port."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _peer = self._listener.accept()
                threading.Thread(target=self._serve, args=[sock], daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError), sock, sock.makefile("rb") as reader:
            while (length := _read_head(reader)) is not None:
                reader.read(length)
                self.requests += 1
                if self.silent:
                    continue
                head = f"HTTP/1.1 {self.status} X\r\nContent-Length: {len(self.body)}"
                sock.sendall(head.encode() + BLANK_LINE + self.body)


def _read_head(reader) -> int | None:
    """Return the length of the next request's body, None at the end."""
    length = None
    while line := reader.readline().strip():
        length = length or 0
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return length
