"""A network between zones, for scripts that cut a zone off.

Each host sees its peers at addresses of proxies and the workers at a port of its own
zone, as behind an address translation. All are loopback addresses.
"""

import asyncio
import contextlib
import re

from http11 import serve

LINK_PORT = 7720
WORKER_PORT = 8080
HANDSHAKE_BYTES = 8
LENGTH_BYTES = 8


class Network:
    """Proxies between hosts, and which zone is cut off from the others."""

    def __init__(self, prefix, zones):
        self._prefix = prefix
        self._zones = zones
        self._host_zones = {}
        self.cut = None
        self._healed = asyncio.Event()
        self._healed.set()
        octet = re.escape(prefix).encode() + rb"\.(\d+)"
        self._links = re.compile(octet + b":%d" % LINK_PORT)
        self._workers = re.compile(octet + rb":808\d")

    def start_cut(self, zone):
        """Cut a zone off from the others; held-up bytes stay under way."""
        self.cut = zone
        self._healed.clear()

    def heal(self):
        """End the cut."""
        self.cut = None
        self._healed.set()

    def reaches(self, one, other):
        """Return whether two zones reach each other."""
        return one == other or self.cut not in (one, other)

    async def add_hosts(self, zones):
        """Start the proxies from each host to each other one."""
        self._host_zones = dict(enumerate(zones))
        for viewer in self._host_zones:
            for target in self._host_zones:
                if viewer != target:
                    await asyncio.start_server(
                        lambda r, w, v=viewer, t=target: self._link(v, t, r, w),
                        f"{self._prefix}.{self._proxy_octet(viewer, target)}",
                        LINK_PORT,
                    )

    def view(self, viewer, data):
        """Return data with all addresses as a host sees them."""

        def link(match):
            target = self._target(int(match[1]))
            octet = 11 + target
            if target != viewer:
                octet = self._proxy_octet(viewer, target)
            return f"{self._prefix}.{octet}:{LINK_PORT}".encode()

        def worker(match):
            port = WORKER_PORT + 1 + self._zones.index(self._host_zones[viewer])
            return f"{self._prefix}.{int(match[1])}:{port}".encode()

        return self._workers.sub(worker, self._links.sub(link, data))

    def _proxy_octet(self, viewer, target):
        return 20 + 6 * viewer + target

    def _target(self, octet):
        return octet - 11 if octet < 20 else (octet - 20) % 6

    async def _wait(self, viewer, target):
        zones = self._host_zones[viewer], self._host_zones[target]
        while not self.reaches(*zones):
            await self._healed.wait()

    async def _link(self, viewer, target, reader, writer):
        """Forward the messages of one channel from a host to another one."""
        await self._wait(viewer, target)
        try:
            back, forth = await asyncio.open_connection(
                f"{self._prefix}.{11 + target}", LINK_PORT
            )
        except OSError:
            writer.transport.abort()
            return
        tasks = [
            asyncio.create_task(self._forward(viewer, target, reader, forth)),
            asyncio.create_task(self._return(viewer, target, back, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.transport.abort()
        forth.transport.abort()

    async def _forward(self, viewer, target, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            writer.write(await reader.readexactly(HANDSHAKE_BYTES))
            while True:
                head = await reader.readexactly(LENGTH_BYTES)
                data = await reader.readexactly(int.from_bytes(head, "big"))
                await self._wait(viewer, target)
                writer.write(head + self.view(target, data))
                await writer.drain()

    async def _return(self, viewer, target, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self._wait(viewer, target)
                writer.write(data)
                await writer.drain()

    async def serve_worker(self, prefix_address, zone, handle):
        """Serve a worker at a port for the hosts of each zone."""
        for number, viewer_zone in enumerate(self._zones):
            gate = self._gate(viewer_zone, zone, handle)
            await serve((prefix_address, WORKER_PORT + 1 + number), gate)

    def gate_store(self, viewer, handle):
        """Return the store as a host sees it."""

        async def gated(request):
            zone = self._host_zones[viewer]
            if self.cut == zone:
                return None, b""
            status, body = await handle(request, lambda data: self.view(viewer, data))
            return (None, b"") if self.cut == zone else (status, body)

        return gated

    def _gate(self, one, other, handle):
        async def gated(request):
            if not self.reaches(one, other):
                return None, b""
            status, body = await handle(request)
            return (status, body) if self.reaches(one, other) else (None, b"")

        return gated
