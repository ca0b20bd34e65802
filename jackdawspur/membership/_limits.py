"""Constants of membership; times in seconds, sizes in bytes."""

__all__ = [
    "DIRECT_LEAVE_TTL",
    "MIN_LINK_INTERVAL",
    "MIN_RELAY_INTERVAL",
    "MIN_ZONE_PEER_INTERVAL",
    "FULL_HEARTBEAT_EVERY",
    "GONE_AFTER",
    "LINKS_PER_ZONE_PAIR",
    "LINK_SHARE",
    "MISSED_HEARTBEATS",
    "MAX_HOST_USAGE_ENTRIES",
    "PACKET_OVERHEAD",
    "RESUME_GAP",
    "SENT_BUDGET",
    "ZONE_PEER_BUDGET",
    "MAX_USAGE_LAG",
    "REPORTED_LEAVE_TTL",
    "MAX_ZONE_USAGE_ENTRIES",
]

# Shortest intervals of regular heartbeats; the budgets below may lengthen them.
MIN_ZONE_PEER_INTERVAL = 0.25
MIN_LINK_INTERVAL = 0.5
MIN_RELAY_INTERVAL = 0.5
# A host is no longer live after this many intervals without a heartbeat.
MISSED_HEARTBEATS = 3
# Bytes per second sent. With the same amount received, a fifth of the 9 KB/s of a node
# is left for all other control messages.
SENT_BUDGET = 3600.0
ZONE_PEER_BUDGET = 2400.0
# Share of the remaining budget for heartbeats to other zones; the rest is for relaying.
LINK_SHARE = 0.5
# One in this many heartbeats to or about other zones lists their hosts and usage.
FULL_HEARTBEAT_EVERY = 4
# TCP, IP and link headers, and a share of the acknowledgement.
PACKET_OVERHEAD = 90
# Number of hosts of a zone that are linked to each other zone; one of them may fail.
LINKS_PER_ZONE_PAIR = 2
# Only the customers of a zone with the highest usage are reported to other zones.
MAX_ZONE_USAGE_ENTRIES = 16
# Number of its customers whose usage a host reports within its zone.
MAX_HOST_USAGE_ENTRIES = 32
# An unresponsive owner counts as gone after this; a paused host may resume earlier.
GONE_AFTER = 30.0
# A gap of this length on the monotonic clock means that this host was paused.
RESUME_GAP = 0.5
# How long a report that an upstream is leaving counts, if made by the upstream itself
# or by another host. The first must outlast the lag of the platform's list.
DIRECT_LEAVE_TTL = 60.0
REPORTED_LEAVE_TTL = 15.0
# Usage reports lag: for this long they may contradict a newer report of the upstream.
MAX_USAGE_LAG = 10.0
