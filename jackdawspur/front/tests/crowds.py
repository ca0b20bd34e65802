"""Crowds of misbehaving clients, and what a process uses meanwhile."""

import os
import re
import select
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET

from jackdawspur.standins import PLATFORM_HEADERS

__all__ = [
    "Crowd",
    "is_idle",
    "job_head",
    "open_descriptors",
    "peak_memory_mb",
    "queued_mb",
    "request_head",
]

# A crowd stops sending when nothing was accepted for this long.
STALLED_S = 1.0
CHUNK_BYTES = 65_536
KB_PER_MB = 1024
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
IDLE_SAMPLE_S = 0.4
MAX_IDLE_CORES = 0.4


class Crowd:
    """Clients that send all they can and read nothing unless told to."""

    def __init__(
        self,
        port: int,
        size: int,
        receive_buffer: int | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self._address = (host, port)
        self._receive_buffer = receive_buffer
        self.socks: list[socket.socket] = []
        self.connect(size)

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    def connect(self, size: int) -> None:
        """Open more connections."""
        for _ in range(size):
            sock = socket.socket()
            if self._receive_buffer is not None:
                sock.setsockopt(SOL_SOCKET, SO_RCVBUF, self._receive_buffer)
            sock.settimeout(5.0)
            with suppress(OSError):
                sock.connect(self._address)
            sock.setblocking(False)
            self.socks.append(sock)

    def send(self, data: bytes, max_s: float = 20.0) -> int:
        """Send the same bytes on all connections; return how many were accepted.

        All connections advance together. Those that the host closes are dropped from
        the crowd, and so is what a connection doesn't accept for a while.
        """
        unsent = dict.fromkeys(self.socks, 0)
        end = time.monotonic() + max_s
        accepted = 0
        while unsent and time.monotonic() < end:
            writable = _wait_writable(unsent)
            if not writable:
                break
            for sock in writable:
                count = self._send_chunk(sock, data, unsent[sock])
                accepted += count or 0
                if count is None or unsent[sock] + count >= len(data):
                    del unsent[sock]
                else:
                    unsent[sock] += count
        return accepted

    def send_each(self, make_data: Callable[[int], bytes], max_s: float = 20.0) -> None:
        """Send other bytes on each connection, given by its number."""
        everyone = self.socks
        end = time.monotonic() + max_s
        for number, sock in enumerate(list(everyone)):
            self.socks = [sock]
            self.send(make_data(number), max(0.1, end - time.monotonic()))
            if sock not in self.socks:
                everyone.remove(sock)
        self.socks = everyone

    def receive(self, seconds: float) -> list[bytes]:
        """Return what each connection receives within a time."""
        received = dict.fromkeys(self.socks, b"")
        end = time.monotonic() + seconds
        waiting = set(self.socks)
        while waiting and (left := end - time.monotonic()) > 0:
            poller = select.poll()
            by_number = {sock.fileno(): sock for sock in waiting}
            for number in by_number:
                poller.register(number, select.POLLIN)
            for number, _events in poller.poll(left * 1000):
                sock = by_number[number]
                data = _receive_chunk(sock)
                received[sock] += data
                if not data:
                    waiting.discard(sock)
        return list(received.values())

    def close(self) -> None:
        """Close all connections."""
        for sock in self.socks:
            sock.close()
        self.socks = []

    def _send_chunk(self, sock: socket.socket, data: bytes, start: int) -> int | None:
        """Return the number of accepted bytes, None if the connection is closed."""
        try:
            return sock.send(data[start : start + CHUNK_BYTES])
        except BlockingIOError:
            return 0
        except OSError:
            sock.close()
            self.socks.remove(sock)
            return None


def _wait_writable(unsent: dict[socket.socket, int]) -> list[socket.socket]:
    poller = select.poll()
    by_number = {sock.fileno(): sock for sock in unsent}
    for number in by_number:
        poller.register(number, select.POLLOUT)
    ready = poller.poll(STALLED_S * 1000)
    return [by_number[number] for number, _events in ready]


def _receive_chunk(sock: socket.socket) -> bytes:
    try:
        return sock.recv(CHUNK_BYTES)
    except OSError:
        return b""


def request_head(method: str, path: str, **headers: object) -> bytes:
    """Return the head of a request."""
    fields = {**PLATFORM_HEADERS, **headers}
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""]).encode()


def job_head(number: int, length: int) -> bytes:
    """Return the head of a request for a job."""
    return request_head("POST", f"/q/{0xC0000 + number:016x}", Content_Length=length)


def peak_memory_mb(pid: int) -> float:
    """Return the peak of the resident memory of a process."""
    return _status_kb(pid, "VmHWM") / KB_PER_MB


def _status_kb(pid: int, name: str) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"^{name}:\s*(\d+) kB", text, re.MULTILINE).group(1))


def queued_mb(ports: set[int]) -> float:
    """Return what the kernel holds, unread or unsent, for the connections to ports."""
    queued = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _number, local, _remote, _state, queues = line.split()[:5]
        if int(local.rpartition(":")[2], 16) in ports:
            queued += sum(int(count, 16) for count in queues.split(":"))
    return queued / KB_PER_MB**2


def is_idle(pid: int) -> bool:
    """Return whether a process uses little processor time for a moment."""
    before = _processor_s(pid)
    time.sleep(IDLE_SAMPLE_S)
    return _processor_s(pid) - before < MAX_IDLE_CORES * IDLE_SAMPLE_S


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
