"""Tests of the size of messages between hosts."""

from jackdawspur.group import HostAddress, HostHeartbeat, decode_message, encode_message


def test_a_heartbeat_omits_fields_with_default_values():
    # Guards against heartbeats that grow with every rarely used field.
    host = HostAddress("a", "z1", "127.0.0.1:9001", 1)
    heartbeat = HostHeartbeat(host, 5.0, False, 0, True, False, False, 1, 1.0, ())
    data = encode_message(heartbeat)
    assert decode_message(data) == heartbeat
    optional = (b"progress", b"room", b"wants_room", b"too_large", b"learned")
    assert not any(name in data for name in optional)
