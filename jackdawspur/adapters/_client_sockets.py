"""Client sockets of an event loop; poller events are passed to their owners."""

from abc import ABC, abstractmethod
from socket import IPPROTO_TCP, TCP_NODELAY, socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

__all__ = ["ClientSockets", "SocketOwner"]


class SocketOwner(ABC):
    """Receiver of the poller events of a socket."""

    @abstractmethod
    def on_readable(self) -> None:
        """Read the received bytes."""

    @abstractmethod
    def on_writable(self) -> None:
        """Continue to write, or handle the end of a connection attempt."""

    @abstractmethod
    def on_hang_up(self) -> None:
        """Handle a hang-up of the peer."""


class ClientSockets(BaseComponent):
    """Watches the sockets of all connections for their owners.

    With one component per connection, circuits discards its handler table with every
    new connection, and then walks all components for every event of every connection:
    connecting to the upstreams that a host takes over cost 0.15 s of processor time for
    58 upstreams and 0.55 s for 116.
    """

    channel = "client-sockets"

    @classmethod
    def of(cls, component: BaseComponent) -> "ClientSockets":
        """Return the instance of a component's loop; create it if there is none."""
        return findcmp(component.root, cls) or cls().register(component.root)

    def init(self) -> None:
        """Initialize without sockets; circuits passes the constructor's arguments."""
        self._owners: dict[socket, SocketOwner] = {}
        self._poller: BasePoller | None = None

    def create_socket(self, owner: SocketOwner) -> socket:
        """Return a new socket; its owner receives its events once it is watched."""
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        sock = socket()
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setblocking(False)
        self._owners[sock] = owner
        return sock

    def watch_reads(self, sock: socket) -> None:
        """Notify the owner whenever the socket is readable."""
        self._poller.addReader(self, sock)

    def watch_writes(self, sock: socket) -> None:
        """Notify the owner while the socket is writable, or once its connect ended."""
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def ignore_writes(self, sock: socket) -> None:
        """Stop notifying the owner that the socket is writable."""
        if self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def close(self, sock: socket) -> None:
        """Close a socket; its pending events are discarded."""
        if self._owners.pop(sock, None) is not None:
            self._poller.discard(sock)
            sock.close()

    @handler("_read")
    def _on_read(self, sock: socket) -> None:
        owner = self._owners.get(sock)
        if owner is not None:
            owner.on_readable()

    @handler("_write")
    def _on_write(self, sock: socket) -> None:
        owner = self._owners.get(sock)
        if owner is not None:
            owner.on_writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        owner = self._owners.get(sock)
        if owner is not None:
            owner.on_hang_up()
