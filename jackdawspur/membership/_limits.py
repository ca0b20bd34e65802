"""Named limits of membership; times in seconds, sizes in bytes."""

__all__ = [
    "DIRECT_HOLD",
    "FASTEST_LINK",
    "FASTEST_RELAY",
    "FASTEST_SIBLING",
    "FULL_EVERY",
    "GONE_AFTER",
    "LINKS_A_ZONE_PAIR",
    "LINK_SHARE",
    "MISSED_BEATS",
    "OWN_USAGE_REPORTED",
    "PACKET_OVERHEAD",
    "RESUME_GAP",
    "SENT_BUDGET",
    "SIBLING_BUDGET",
    "STALE_USAGE",
    "TOLD_HOLD",
    "USAGE_REPORTED",
]

# Regular heartbeats go out no faster; budgets below stretch the intervals.
FASTEST_SIBLING = 0.25
FASTEST_LINK = 0.5
FASTEST_RELAY = 0.5
# A host is unheard after this many intervals without a heartbeat.
MISSED_BEATS = 3
# Sent bytes a second; with as much received they leave a fifth of the 9 KB/s a node
# for all other control messages.
SENT_BUDGET = 3600.0
SIBLING_BUDGET = 2400.0
# Of what siblings leave, this share goes to other zones, the rest to relaying.
LINK_SHARE = 0.5
# One heartbeat in so many to and about other zones lists their hosts and usage.
FULL_EVERY = 4
# TCP, IP and link headers, and the acknowledgement's share.
PACKET_OVERHEAD = 90
# Two hosts of each zone talk to each other zone, so that one may fail.
LINKS_A_ZONE_PAIR = 2
# Only the heaviest customers of a zone are reported to other zones.
USAGE_REPORTED = 16
# A host names so many of its own customers to its siblings.
OWN_USAGE_REPORTED = 32
# A silent owner counts as gone after this; a paused host may be back before.
GONE_AFTER = 30.0
# A gap of this length on the monotonic clock means that this host was paused.
RESUME_GAP = 0.5
# An upstream's own word that it leaves outlives the lag of the platform's list.
DIRECT_HOLD = 60.0
TOLD_HOLD = 15.0
# Usage lags: for this long it may still deny what an upstream said directly.
STALE_USAGE = 10.0
