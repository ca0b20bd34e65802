"""Messages between hosts are short."""

from jackdawspur.group import HostAddress, HostHeartbeat, decode_message, encode_message


def test_a_heartbeat_leaves_out_what_is_usual():
    # Guards against heartbeats whose bytes grow with each field that is seldom used.
    host = HostAddress("a", "z1", "127.0.0.1:9001", 1)
    beat = HostHeartbeat(host, 5.0, False, 0, True, False, False, 1, 1.0, ())
    data = encode_message(beat)
    assert decode_message(data) == beat
    seldom = (b"progress", b"room", b"wants_room", b"too_large", b"learned")
    assert not any(name in data for name in seldom)
