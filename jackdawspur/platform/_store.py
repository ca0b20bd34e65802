"""Following and writing the platform's store."""

import logging
import struct

import msgspec
from circuits import Component
from result import Result

from jackdawspur.adapters import (
    ClientResponse,
    HttpClient,
    HttpClientLimits,
    TimerQueue,
    split_address,
)
from jackdawspur.external import PlatformError
from jackdawspur.front import StoreListener, StorePort
from jackdawspur.group import HostAddress
from jackdawspur.leases import UpstreamEntry
from jackdawspur.platform._bodies import HostBody
from jackdawspur.platform._entries import UnreadableEntry, read_host, read_upstream
from jackdawspur.platform._topics import KeyedTopic

__all__ = ["PlatformStore"]

HOSTS_TOPIC = "keyed.hosts"
SERVERS_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
READ_AT_ONCE_S = 0.0
# Hosts that start together find each other here. Later ones are learned from their
# heartbeats, and this topic is only for hosts whose heartbeats get lost.
STARTING_S = 5.0
HOSTS_EVERY_S = 2.0
ANNOUNCE_S = 1.0
ANNOUNCE_AGAIN_S = 0.3
# An upstream whose entry lapsed while the store was away writes it again within two
# seconds of the store's return; before that a missing entry says nothing.
RETURN_S = 2.5
# Of so many unreadable entries it is remembered that the log named them, and so much of
# a name is logged: whoever writes such entries may write many and long ones.
MOST_UNREADABLE = 1000
MOST_NAME = 80
CONNECTIONS = 4
CONNECT_S = 0.5

log = logging.getLogger("jackdawspur.platform")


class PlatformStore(StorePort):
    """Read the configuration, the upstreams and the hosts; announce this host."""

    def __init__(self, address: str, owner: Component, timer_queue: TimerQueue) -> None:
        limits = HttpClientLimits(
            max_connections=CONNECTIONS, connect_timeout_s=CONNECT_S
        )
        self._client = HttpClient(split_address(address), timer_queue, limits)
        self._client.register(owner)
        self._timer_queue = timer_queue
        self._listener: StoreListener | None = None
        self._entries: dict[str, UpstreamEntry] = {}
        self._lapsed: dict[str, float] = {}
        self._evacuated: set[str] = set()
        # Why each unreadable entry is, so that the log says it once.
        self._unreadable: dict[str, str] = {}
        self._reachable = True
        self._unannounced: HostAddress | None = None
        self._followed_since = timer_queue.now

    def start_watch(self, listener: StoreListener) -> None:
        """Begin to read, and never stop."""
        self._listener = listener
        self._followed_since = self._timer_queue.now
        for topic, changed, pause_s in (
            (OPERATOR_TOPIC, self._operator_wrote, lambda: READ_AT_ONCE_S),
            (
                SERVERS_TOPIC,
                self._servers_wrote,
                lambda: listener.upstream_list_interval_s,
            ),
            (HOSTS_TOPIC, self._hosts_wrote, self._hosts_pause_s),
        ):
            KeyedTopic(
                topic, self._client, self._timer_queue, changed, self._reached, pause_s
            ).begin()

    def announce(self, host: HostAddress) -> None:
        """Publish where this host is, until it worked."""
        body = HostBody(
            host.name, host.zone, host.link, host.started_ms, host.processor
        )
        key = host.name.encode()
        record = bytes([len(key)]) + key + msgspec.json.encode(body)
        data = struct.pack(">I", len(record)) + record

        def done(result: Result[ClientResponse, PlatformError]) -> None:
            if result.is_err() or result.ok_value.status != 200:
                self._unannounced = host
                self._timer_queue.call_later(ANNOUNCE_AGAIN_S, self._announce_again)

        path = f"/log-append?topic={HOSTS_TOPIC}&part=0"
        self._client.request("POST", path, data, ANNOUNCE_S, done)

    def _announce_again(self) -> None:
        host, self._unannounced = self._unannounced, None
        if host is not None:
            self.announce(host)

    def _hosts_pause_s(self) -> float:
        starting = self._timer_queue.now - self._followed_since < STARTING_S
        return READ_AT_ONCE_S if starting else HOSTS_EVERY_S

    def _reached(self, reachable: bool, reason: str) -> None:
        if reachable:
            # Hosts that read each other's entries before these are written do not meet
            # before they choose who leads.
            self._announce_again()
        if reachable != self._reachable:
            self._reachable = reachable
            self._listener.on_store_reachability(reachable, reason)

    def _operator_wrote(self, changed: dict[str, bytes], whole: bool) -> None:
        self._read_evacuated(changed, whole)
        document = changed.get(CONFIGURATION_KEY)
        if not document:
            return
        try:
            version = msgspec.json.decode(document, type=_Version).version
        except (msgspec.DecodeError, RecursionError) as error:
            log.error("configuration without version", extra={"reason": str(error)})
            return
        self._listener.on_configuration(version, document)

    def _read_evacuated(self, changed: dict[str, bytes], whole: bool) -> None:
        """Keep the zones to which nothing may be sent; a dropped key ends one."""
        evacuated = set() if whole else set(self._evacuated)
        for key, value in changed.items():
            zone = key.removeprefix(EVACUATE_PREFIX)
            if zone == key:
                continue
            if value:
                evacuated.add(zone)
            else:
                evacuated.discard(zone)
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            self._listener.on_evacuated_zones(frozenset(evacuated))

    def _servers_wrote(self, changed: dict[str, bytes], whole: bool) -> None:
        """Keep the list; an entry that vanished counts as gone only after a while."""
        now = self._timer_queue.now
        if whole:
            for name in self._entries:
                if name not in changed:
                    self._lapsed.setdefault(name, now)
        for name, value in changed.items():
            if not value:
                self._lapsed.setdefault(name, now)
                continue
            self._lapsed.pop(name, None)
            try:
                self._entries[name] = read_upstream(name, value)
                self._unreadable.pop(name, None)
            except UnreadableEntry as error:
                # What it said before may have been of another upstream.
                self._entries.pop(name, None)
                self._note_unreadable(name, "upstream entry unreadable", str(error))
        for name, since in list(self._lapsed.items()):
            if now - since > RETURN_S:
                self._entries.pop(name, None)
                del self._lapsed[name]
        self._listener.on_upstreams(tuple(self._entries.values()))

    def _hosts_wrote(self, changed: dict[str, bytes], whole: bool) -> None:
        hosts = []
        for name, value in changed.items():
            if not value:
                continue
            try:
                hosts.append(read_host(value))
            except UnreadableEntry as error:
                self._note_unreadable(name, "host entry unreadable", str(error))
        self._listener.on_hosts(tuple(hosts))

    def _note_unreadable(self, name: str, text: str, reason: str) -> None:
        """Say it once: an upstream writes its entry anew every second or so."""
        if self._unreadable.get(name) != reason:
            self._unreadable[name] = reason
            log.warning(text, extra={"entry": name[:MOST_NAME], "reason": reason})
        while len(self._unreadable) > MOST_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]


class _Version(msgspec.Struct):
    version: int
