"""A deployment gets only ports on which nothing listens."""

import random
import socket

from jackdawspur.soak import _ports
from jackdawspur.soak._ports import BLOCK_SIZE, FIRST_PORT, PortBlock


def test_a_block_with_a_port_in_use_is_skipped(monkeypatch):
    # Guards against test failures without a bug of the product: a store couldn't listen
    # on its port, because a process of an earlier deployment hadn't closed it yet.
    monkeypatch.setattr(_ports, "LAST_PORT", FIRST_PORT + 8 * BLOCK_SIZE)
    monkeypatch.setattr(random, "shuffle", lambda blocks: None)
    block = PortBlock()
    (first_port,) = block.allocate(1)
    block.close()
    listener = socket.create_server(("127.0.0.1", first_port + 3))
    other_block = PortBlock()
    (other_port,) = other_block.allocate(1)
    listener.close()
    other_block.close()
    assert other_port >= first_port + BLOCK_SIZE
