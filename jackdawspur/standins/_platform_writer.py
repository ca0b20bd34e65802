"""Other writers of the customers' platform."""

import struct
from http.client import HTTPConnection

__all__ = ["write_upstream_entry"]


def write_upstream_entry(store_port: int, name: bytes, value: bytes) -> None:
    """Write a record among the entries of the upstreams, as any writer may."""
    record = bytes([len(name)]) + name + value
    data = struct.pack(">I", len(record)) + record
    connection = HTTPConnection("127.0.0.1", store_port)
    connection.request("POST", "/log-append?topic=keyed.servers&part=0", data)
    assert connection.getresponse().status == 200
    connection.close()
