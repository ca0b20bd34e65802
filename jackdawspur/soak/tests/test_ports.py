"""A deployment gets ports on which nothing listens."""

import random
import socket

from jackdawspur.soak import _ports
from jackdawspur.soak._ports import BLOCK, FIRST, PortBlock


def test_a_block_in_which_something_listens_is_passed_over(monkeypatch):
    # A test run fails for no fault of the product: a store could not listen, since what
    # an earlier deployment had started there was not closed yet.
    monkeypatch.setattr(_ports, "LAST", FIRST + 8 * BLOCK)
    monkeypatch.setattr(random, "shuffle", lambda blocks: None)
    block = PortBlock()
    (taken,) = block.take(1)
    block.close()
    listener = socket.create_server(("127.0.0.1", taken + 3))
    other = PortBlock()
    (port,) = other.take(1)
    listener.close()
    other.close()
    assert port >= taken + BLOCK
