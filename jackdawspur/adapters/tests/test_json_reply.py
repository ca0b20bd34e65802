"""Tests that malformed replies become errors."""

import msgspec
import pytest
from result import Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.adapters._json_reply import reply_handler
from jackdawspur.external import OutcomeUnknown


@pytest.mark.parametrize(
    "body", [b"", b"[" * 100_000 + b"]" * 100_000, b"9" * 100_000, b"\xff"]
)
def test_a_malformed_reply_is_reported(body: bytes):
    # Guards against a request without an end: a nested reply raised no decode error.
    results = []
    receive = reply_handler(
        "peer", lambda reply: msgspec.json.decode(reply.body), results.append
    )
    receive(Ok(ClientResponse(200, body)))
    assert isinstance(results[0].unwrap_err(), OutcomeUnknown)
