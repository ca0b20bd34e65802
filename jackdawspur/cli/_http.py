"""HTTP requests of commands to an entry host."""

import http.client
import sys
from dataclasses import dataclass
from pathlib import Path

from jackdawspur.cli._exit import ExitCode, UsageError

__all__ = ["Reply", "print_reply", "read_input", "send_request", "single_argument"]

TIMEOUT_S = 60.0
FIRST_NON_SUCCESS_STATUS = 300
FIRST_FAILED_STATUS = 500
REFUSED_STATUS = 503


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an entry host."""

    status: int
    body: str


def send_request(
    host: str,
    method: str,
    path: str,
    token: str,
    body: bytes = b"",
    key: str | None = None,
) -> Reply | None:
    """Send a request to an entry host; return its reply, or None if there is none."""
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


def read_input(path: str) -> bytes:
    """Return the content of a file, or of standard input for ``-``."""
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def single_argument(positional: list[str], expected: str) -> str:
    """Return the only positional argument of a command, described by `expected`."""
    if len(positional) != 1:
        raise UsageError(f"expected one argument, {expected}")
    return positional[0]


def print_reply(reply: Reply | None, host: str) -> ExitCode:
    """Print a reply and return the matching exit code."""
    if reply is None:
        sys.stderr.write(f"jackdawspur: no answer from {host}\n")
        return ExitCode.UNREACHABLE
    sys.stdout.write(reply.body.rstrip("\n") + "\n")
    if reply.status < FIRST_NON_SUCCESS_STATUS:
        return ExitCode.OK
    refused = reply.status < FIRST_FAILED_STATUS or reply.status == REFUSED_STATUS
    return ExitCode.REFUSED if refused else ExitCode.FAILED
