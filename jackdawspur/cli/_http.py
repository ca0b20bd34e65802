"""One HTTP request of a command to an entry host."""

import http.client
import sys
from dataclasses import dataclass
from pathlib import Path

from jackdawspur.cli._exit import ExitCode, UsageError

__all__ = ["Reply", "ask", "one_argument", "print_reply", "read_input"]

TIMEOUT_S = 60.0
OK_CEILING = 300
FAILED_FLOOR = 500
REFUSED_STATUS = 503


@dataclass(frozen=True, slots=True)
class Reply:
    """Carry what an entry host replied."""

    status: int
    body: str


def ask(
    host: str,
    method: str,
    path: str,
    token: str,
    body: bytes = b"",
    key: str | None = None,
) -> Reply | None:
    """Return the reply of an entry host, or None when none came."""
    address, _, port = host.rpartition(":")
    if not address or not port.isdigit():
        raise UsageError(f"--host: expected IP:port, got {host!r}")
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {token}"}
    if key:
        headers["Idempotency-Key"] = key
    connection = http.client.HTTPConnection(address, int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Reply(response.status, response.read().decode())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def read_input(name: str) -> bytes:
    """Return the content of a file, or of standard input for ``-``."""
    if name == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise UsageError(f"{name}: {error.strerror}") from error


def one_argument(rest: list[str], what: str) -> str:
    """Return the only argument of a command."""
    if len(rest) != 1:
        raise UsageError(f"expected one argument, {what}")
    return rest[0]


def print_reply(reply: Reply | None, host: str) -> ExitCode:
    """Print a reply and return the matching exit status."""
    if reply is None:
        sys.stderr.write(f"jackdawspur: no answer from {host}\n")
        return ExitCode.UNREACHABLE
    sys.stdout.write(reply.body.rstrip("\n") + "\n")
    if reply.status < OK_CEILING:
        return ExitCode.OK
    refused = reply.status < FAILED_FLOOR or reply.status == REFUSED_STATUS
    return ExitCode.REFUSED if refused else ExitCode.FAILED
