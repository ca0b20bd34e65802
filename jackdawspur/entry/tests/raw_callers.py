"""Callers that send raw bytes, and a host with routes to receive them."""

import json
import socket
from dataclasses import dataclass

from jackdawspur.adapters import WebServer
from jackdawspur.callers import answer_response
from jackdawspur.configuration import (
    Readiness,
    ReadinessReason,
)
from jackdawspur.dispatch import Submitted
from jackdawspur.entry._routes import Routes
from jackdawspur.model import Answer, JobState

TOKEN = "t"
JOB = {"job_class": "c", "tasks": [{"payload": "x", "run_ms": 5}]}
MAX_BODY = 1_048_576


class Host:
    """Host that records events, and answers jobs at once or on demand."""

    def __init__(self, loop) -> None:
        self.events = []
        self.routes = Routes(self)
        self.now = 1000.0
        self.server = WebServer("127.0.0.1:0", self.routes, clock=lambda: self.now)
        self.server.register(loop.root)
        self.answers_at_once = True

    def post(self, event) -> None:
        self.events.append(event)
        if self.answers_at_once and isinstance(event, Submitted):
            self.answer(event.call)

    def answer(self, call: int) -> None:
        self.reply(call, answer_response(Answer(JobState.COMPLETE, outputs=("x",))))

    def reply(self, number, reply) -> None:
        self.server.reply(number, reply)

    def readiness(self) -> Readiness:
        return Readiness(True, ReadinessReason.READY)

    @property
    def submitted(self):
        return [event for event in self.events if isinstance(event, Submitted)]


@dataclass
class Reply:
    """One reply, and the bytes received after it."""

    status: int
    body: dict
    rest: bytes


class Caller:
    """Client that sends raw bytes and reads replies while the loop runs."""

    def __init__(self, loop, port: int) -> None:
        self._loop = loop
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.data = b""
        self.closed = False

    def send(self, data: bytes) -> None:
        while data:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                self._loop.settle(1)

    def receive(self) -> None:
        try:
            chunk = self.sock.recv(65536)
            self.closed = not chunk
            self.data += chunk
        except BlockingIOError:
            pass

    def reply(self) -> Reply:
        def is_complete() -> bool:
            self.receive()
            self._remove_interim_replies()
            head, found, body = self.data.partition(b"\r\n\r\n")
            return bool(found) and len(body) >= _length(head)

        self._loop.run_until(is_complete)
        head, _, body = self.data.partition(b"\r\n\r\n")
        length = _length(head)
        self.data = body[length:]
        read = json.loads(body[:length])
        return Reply(int(head.split()[1]), read, self.data)

    def _remove_interim_replies(self) -> None:
        """Ignore replies before the final one, as each client of HTTP/1.1 must."""
        while self.data.startswith(b"HTTP/1.1 1") and b"\r\n\r\n" in self.data:
            self.data = self.data.partition(b"\r\n\r\n")[2]

    def wait_closed(self) -> None:
        def closed() -> bool:
            self.receive()
            return self.closed

        self._loop.run_until(closed)


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def request(body, length=None, extra="", method="POST", path="/v1/jobs?wait=true"):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    length = len(data) if length is None else length
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Content-Length: {length}\r\n{extra}\r\n"
    )
    return head.encode() + data
