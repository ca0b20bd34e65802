"""Access to the platform's store."""

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
from jackdawspur.platform._entries import EntryDecodeError, read_host, read_upstream
from jackdawspur.platform._repeated_log import RepeatedErrorLog
from jackdawspur.platform._topics import KeyedTopic

__all__ = ["PlatformStore"]

HOSTS_TOPIC = "keyed.hosts"
SERVERS_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
NO_PAUSE_S = 0.0
# Hosts that start at the same time find each other through this topic, so at first it
# is read without pauses. Later hosts become known through their heartbeats, and the
# topic is only needed for hosts whose heartbeats are lost.
STARTUP_S = 5.0
HOSTS_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 1.0
ANNOUNCE_RETRY_S = 0.3
# Time for which an upstream stays in use after its entry is missing. An upstream whose
# entry expired while the store was unavailable writes it again within two seconds after
# the store is available again.
MISSING_ENTRY_GRACE_S = 2.5
MAX_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 0.5

log = logging.getLogger("jackdawspur.platform")


class PlatformStore(StorePort):
    """Watches configuration, upstreams and hosts in the store; announces this host."""

    def __init__(self, address: str, owner: Component, timer_queue: TimerQueue) -> None:
        limits = HttpClientLimits(
            max_connections=MAX_CONNECTIONS, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._client = HttpClient(split_address(address), timer_queue, limits)
        self._client.register(owner)
        self._timer_queue = timer_queue
        self._listener: StoreListener | None = None
        self._entries: dict[str, UpstreamEntry] = {}
        self._missing_since: dict[str, float] = {}
        self._evacuated: set[str] = set()
        # An upstream rewrites its entry every second.
        self._error_log = RepeatedErrorLog(log, "entry")
        self._reachable = True
        self._pending_announcement: HostAddress | None = None
        self._watch_started_at = timer_queue.now

    def start_watch(self, listener: StoreListener) -> None:
        """Start to follow the topics; this never ends."""
        self._listener = listener
        self._watch_started_at = self._timer_queue.now
        for topic, on_change, pause_s in (
            (OPERATOR_TOPIC, self._on_operator_records, lambda: NO_PAUSE_S),
            (
                SERVERS_TOPIC,
                self._on_server_records,
                lambda: listener.upstream_list_interval_s,
            ),
            (HOSTS_TOPIC, self._on_host_records, self._hosts_pause_s),
        ):
            KeyedTopic(
                topic,
                self._client,
                self._timer_queue,
                on_change,
                self._on_reachability,
                pause_s,
            ).start()

    def announce(self, host: HostAddress) -> None:
        """Publish this host's address, with retries until that succeeds."""
        body = HostBody(
            host.name, host.zone, host.link, host.started_ms, host.processor
        )
        key = host.name.encode()
        record = bytes([len(key)]) + key + msgspec.json.encode(body)
        data = struct.pack(">I", len(record)) + record

        def done(result: Result[ClientResponse, PlatformError]) -> None:
            if result.is_err() or result.ok_value.status != 200:
                self._pending_announcement = host
                self._timer_queue.call_later(ANNOUNCE_RETRY_S, self._retry_announcement)

        path = f"/log-append?topic={HOSTS_TOPIC}&part=0"
        self._client.request("POST", path, data, ANNOUNCE_TIMEOUT_S, done)

    def _retry_announcement(self) -> None:
        host, self._pending_announcement = self._pending_announcement, None
        if host is not None:
            self.announce(host)

    def _hosts_pause_s(self) -> float:
        starting = self._timer_queue.now - self._watch_started_at < STARTUP_S
        return NO_PAUSE_S if starting else HOSTS_INTERVAL_S

    def _on_reachability(self, reachable: bool, reason: str) -> None:
        if reachable:
            # Retry now. Hosts that read the store before the others' entries are
            # written don't know of each other when they elect a leader.
            self._retry_announcement()
        if reachable != self._reachable:
            self._reachable = reachable
            self._listener.on_store_reachability(reachable, reason)

    def _on_operator_records(
        self, changed: dict[str, bytes], is_snapshot: bool
    ) -> None:
        self._read_evacuated(changed, is_snapshot)
        document = changed.get(CONFIGURATION_KEY)
        if not document:
            return
        try:
            version = msgspec.json.decode(document, type=_Version).version
        except (msgspec.DecodeError, RecursionError) as error:
            log.error("configuration without version", extra={"reason": str(error)})
            return
        self._listener.on_configuration(version, document)

    def _read_evacuated(self, changed: dict[str, bytes], is_snapshot: bool) -> None:
        """Update the set of evacuated zones; a deleted key ends an evacuation."""
        evacuated = set() if is_snapshot else set(self._evacuated)
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

    def _on_server_records(self, changed: dict[str, bytes], is_snapshot: bool) -> None:
        """Update the upstreams; a missing entry is dropped only after a grace time."""
        now = self._timer_queue.now
        if is_snapshot:
            for name in self._entries:
                if name not in changed:
                    self._missing_since.setdefault(name, now)
        for name, value in changed.items():
            if not value:
                self._missing_since.setdefault(name, now)
                continue
            self._missing_since.pop(name, None)
            try:
                self._entries[name] = read_upstream(name, value)
                self._error_log.resolve(name)
            except EntryDecodeError as error:
                # The previous entry may have belonged to another upstream.
                self._entries.pop(name, None)
                self._error_log.add(name, "upstream entry unreadable", str(error))
        for name, since in list(self._missing_since.items()):
            if now - since > MISSING_ENTRY_GRACE_S:
                self._entries.pop(name, None)
                del self._missing_since[name]
        self._listener.on_upstreams(tuple(self._entries.values()))

    def _on_host_records(self, changed: dict[str, bytes], is_snapshot: bool) -> None:
        hosts = []
        for name, value in changed.items():
            if not value:
                continue
            try:
                hosts.append(read_host(value))
            except EntryDecodeError as error:
                self._error_log.add(name, "host entry unreadable", str(error))
        self._listener.on_hosts(tuple(hosts))


class _Version(msgspec.Struct):
    version: int
