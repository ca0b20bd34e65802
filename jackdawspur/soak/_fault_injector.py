"""Inject planned faults into a deployment, and revert them."""

import time
from dataclasses import dataclass
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen

from jackdawspur.soak._deployment import Deployment, Host, wait_until
from jackdawspur.soak._plan import LIST_FAULTS, Fault, FaultKind
from jackdawspur.soak._proxy import ProxyMode

__all__ = ["FaultInjector"]

# Time until an interpreter runs its program, which can ignore signals from then on.
INTERPRETER_START_S = 0.1
# The maximum number of workers that one LIST_SHORT fault takes off the list.
MAX_UNLISTED = 4

PROXY_MODES = {
    FaultKind.STORE_SILENT_FOR_HOST: ProxyMode.SILENT,
    FaultKind.STORE_RESETS_HOST: ProxyMode.RESET,
    FaultKind.WORKER_SILENT: ProxyMode.SILENT,
    FaultKind.WORKER_RESETS: ProxyMode.RESET,
}
WORKER_FAULTS = (FaultKind.WORKER_SILENT, FaultKind.WORKER_RESETS)
PLATFORM_FAULTS = (FaultKind.STORE_DOWN, *LIST_FAULTS)
LINK_FAULTS = (
    FaultKind.HOST_HEARS_NOBODY,
    FaultKind.HOST_HEARD_BY_NOBODY,
    FaultKind.HOST_CUT_OFF,
    FaultKind.HALVES_CUT,
)


@dataclass(frozen=True, slots=True)
class _ActiveFault:
    """A fault, its end, and the process of its target host when it was injected."""

    until_s: float
    fault: Fault
    process: Popen


class FaultInjector:
    """Inject faults and revert each one when its duration is over."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._active: list[_ActiveFault] = []
        self.kills: dict[str, int] = {host.name: 0 for host in deployment.hosts}

    def inject(self, fault: Fault, now_s: float) -> None:
        """Start a fault, unless the same one is already active for its target.

        A host that is down or frozen gets no signal. It also gets no SIGHUP while its
        interpreter starts, because the signal would end the process before the program
        can handle it.
        """
        if any(_is_same_fault(active.fault, fault) for active in self._active):
            return
        host = self._target_host(fault)
        on_host = fault.kind not in (*PROXY_MODES, *PLATFORM_FAULTS, *LINK_FAULTS)
        if fault.kind is FaultKind.STORE_FORGETS:
            self._apply_platform_faults(forget=True)
            return
        if on_host and (host.process.poll() is not None or self._is_frozen(host)):
            return
        if fault.kind is FaultKind.RELOAD_HOST and not _is_interpreter_started(host):
            return
        self._active.append(_ActiveFault(now_s + fault.duration_s, fault, host.process))
        if on_host:
            self._signal_host(fault, host)
        else:
            self._apply(fault)

    def revert_due(self, now_s: float) -> None:
        """Revert the faults whose duration is over, restarting hosts that are down."""
        for active in [a for a in self._active if a.until_s <= now_s]:
            if self._can_revert(active):
                self._active.remove(active)
                self._revert(active)

    def revert_all(self, seconds: float) -> None:
        """Revert all faults and wait for hosts that are still stopping."""
        wait_until(self._revert_and_check, "end of all faults", seconds)

    def _revert_and_check(self) -> bool:
        self.revert_due(float("inf"))
        return not self._active

    def _signal_host(self, fault: Fault, host: Host) -> None:
        if fault.kind is FaultKind.KILL_HOST:
            self.kills[host.name] += 1
            host.process.send_signal(SIGKILL)
            # Until the process is gone, its port accepts connections that stay unread.
            host.process.wait()
        elif fault.kind is FaultKind.FREEZE_HOST:
            host.process.send_signal(SIGSTOP)
        elif fault.kind is FaultKind.STOP_HOST:
            host.process.send_signal(SIGTERM)
        elif fault.kind is FaultKind.RELOAD_HOST:
            host.process.send_signal(SIGHUP)

    def _can_revert(self, active: _ActiveFault) -> bool:
        down = active.fault.kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST)
        return not down or active.process.poll() is not None

    def _revert(self, active: _ActiveFault) -> None:
        fault, host = active.fault, self._target_host(active.fault)
        if fault.kind in (*PROXY_MODES, *PLATFORM_FAULTS, *LINK_FAULTS):
            self._apply(fault)
        elif fault.kind is FaultKind.FREEZE_HOST:
            active.process.send_signal(SIGCONT)
        elif fault.kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST):
            if host.process is active.process:
                host.start()

    def _apply(self, fault: Fault) -> None:
        """Set the faults of one kind to those that are active."""
        if fault.kind in PLATFORM_FAULTS:
            self._apply_platform_faults()
        elif fault.kind in LINK_FAULTS:
            self._apply_partitions()
        else:
            self._apply_proxy_mode(fault)

    def _apply_platform_faults(self, forget: bool = False) -> None:
        active_faults = [active.fault for active in self._active]
        down = any(fault.kind is FaultKind.STORE_DOWN for fault in active_faults)
        unlisted = {index for fault in active_faults for index in self._unlisted(fault)}
        self._deployment.set_faults(
            store_down=down, unlisted=sorted(unlisted), forget=forget
        )

    def _unlisted(self, fault: Fault) -> set[int]:
        """Return the indices of the workers that a fault removes from the list."""
        if fault.kind not in LIST_FAULTS:
            return set()
        workers = len(self._deployment.worker_proxies)
        count = workers // 2
        if fault.kind is FaultKind.LIST_SHORT:
            count = 1 + fault.target // len(self._deployment.hosts) % MAX_UNLISTED
        return {(fault.target + offset) % workers for offset in range(count)}

    def _apply_proxy_mode(self, fault: Fault) -> None:
        on_workers = fault.kind in WORKER_FAULTS
        proxies = self._deployment.worker_proxies
        if not on_workers:
            proxies = [host.store_proxy for host in self._deployment.hosts]
        index = fault.target % len(proxies)
        active_modes = [
            PROXY_MODES[active.fault.kind]
            for active in self._active
            if active.fault.kind in PROXY_MODES
            and (active.fault.kind in WORKER_FAULTS) == on_workers
            and active.fault.target % len(proxies) == index
        ]
        proxies[index].mode = active_modes[-1] if active_modes else ProxyMode.OPEN

    def _apply_partitions(self) -> None:
        hosts = self._deployment.hosts
        partitions = [a.fault for a in self._active if a.fault.kind in LINK_FAULTS]
        for receiver, host in enumerate(hosts):
            host.link_proxy.blocked_senders = frozenset(
                peer.name
                for sender, peer in enumerate(hosts)
                if any(
                    self._is_blocked(fault, sender, receiver) for fault in partitions
                )
            )

    def _is_blocked(self, fault: Fault, sender: int, receiver: int) -> bool:
        """Return whether a partition blocks messages between two hosts, by index."""
        isolated = fault.target % len(self._deployment.hosts)
        if fault.kind is FaultKind.HALVES_CUT:
            # In layouts with two zones, hosts are in them alternately, so that each
            # half is a zone.
            return sender % 2 != receiver % 2
        if fault.kind is FaultKind.HOST_HEARS_NOBODY:
            return receiver == isolated
        if fault.kind is FaultKind.HOST_HEARD_BY_NOBODY:
            return sender == isolated
        return isolated in (sender, receiver)

    def _is_frozen(self, host: Host) -> bool:
        return any(
            active.fault.kind is FaultKind.FREEZE_HOST
            and self._target_host(active.fault) is host
            for active in self._active
        )

    def _target_host(self, fault: Fault) -> Host:
        hosts = self._deployment.hosts
        return hosts[fault.target % len(hosts)]


def _is_interpreter_started(host: Host) -> bool:
    return time.monotonic() - host.started_at >= INTERPRETER_START_S


def _is_same_fault(fault: Fault, other: Fault) -> bool:
    return (fault.kind, fault.target) == (other.kind, other.target)
