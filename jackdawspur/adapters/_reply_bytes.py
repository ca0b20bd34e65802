"""Encoding of HTTP replies."""

from email.utils import formatdate
from http import HTTPStatus

from jackdawspur.adapters._requests import HttpRequest
from jackdawspur.callers import HttpResponse

__all__ = ["encode_reply"]


def encode_reply(reply: HttpResponse, request: HttpRequest | None) -> bytes:
    """Return the bytes of a reply; without a request it announces a close."""
    lines = [
        f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}",
        f"Date: {formatdate(usegmt=True)}",
        f"Content-Type: {reply.content_type}",
        f"Content-Length: {len(reply.body)}",
    ]
    if reply.retry_after_s:
        lines.append(f"Retry-After: {reply.retry_after_s}")
    closes = request is None or not request.keep_alive
    lines.append("Connection: close" if closes else "Connection: keep-alive")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return head if request and request.method == "HEAD" else head + reply.body
