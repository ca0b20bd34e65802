"""Carrying faults out on a deployment, and taking them back."""

import time
from dataclasses import dataclass
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen

from jackdawspur.soak._deployment import Deployment, Host, wait_until
from jackdawspur.soak._plan import OF_LIST, Fault, FaultKind
from jackdawspur.soak._proxy import ProxyMode

__all__ = ["FaultInjector"]

# By then an interpreter runs its program, which can ignore signals from there on.
BEGUN_S = 0.1
# At most so many workers are off the list for one fault.
MOST_UNLISTED = 4

PROXY_MODES = {
    FaultKind.STORE_SILENT_FOR_HOST: ProxyMode.SILENT,
    FaultKind.STORE_RESETS_HOST: ProxyMode.RESET,
    FaultKind.WORKER_SILENT: ProxyMode.SILENT,
    FaultKind.WORKER_RESETS: ProxyMode.RESET,
}
OF_WORKERS = (FaultKind.WORKER_SILENT, FaultKind.WORKER_RESETS)
OF_PLATFORM = (FaultKind.STORE_DOWN, *OF_LIST)
OF_LINKS = (
    FaultKind.HOST_HEARS_NOBODY,
    FaultKind.HOST_HEARD_BY_NOBODY,
    FaultKind.HOST_CUT_OFF,
    FaultKind.HALVES_CUT,
)


@dataclass(frozen=True, slots=True)
class _Undo:
    """Keep what is to end when; `process` is the run of the host that was struck."""

    at_s: float
    fault: Fault
    process: Popen


class FaultInjector:
    """Carry faults out, and take them back when their time is over."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._undo: list[_Undo] = []
        self.kills: dict[str, int] = {host.name: 0 for host in deployment.hosts}

    def inject(self, fault: Fault, now_s: float) -> None:
        """Begin a fault; one whose target is struck already by the same does nothing.

        A host that is down or stands still takes no signal, and none to reload while
        its interpreter starts: no program could keep that from ending it.
        """
        if any(_same(undo.fault, fault) for undo in self._undo):
            return
        host = self._host(fault)
        on_host = fault.kind not in (*PROXY_MODES, *OF_PLATFORM, *OF_LINKS)
        if fault.kind is FaultKind.STORE_FORGETS:
            self._set_platform(forget=True)
            return
        if on_host and (host.process.poll() is not None or self._frozen(host)):
            return
        if fault.kind is FaultKind.RELOAD_HOST and not _has_begun(host):
            return
        self._undo.append(_Undo(now_s + fault.for_s, fault, host.process))
        if on_host:
            self._signal(fault, host)
        else:
            self._put_in_force(fault)

    def revert_due(self, now_s: float) -> None:
        """End what has lasted long enough, and start hosts again that are down."""
        for undo in [one for one in self._undo if one.at_s <= now_s]:
            if self._may_end(undo):
                self._undo.remove(undo)
                self._end(undo)

    def revert_all(self, seconds: float) -> None:
        """End all faults, and wait for hosts that are still stopping."""
        wait_until(self._none_left, "end of all faults", seconds)

    def _none_left(self) -> bool:
        self.revert_due(float("inf"))
        return not self._undo

    def _signal(self, fault: Fault, host: Host) -> None:
        if fault.kind is FaultKind.KILL_HOST:
            self.kills[host.name] += 1
            host.process.send_signal(SIGKILL)
            # Until it is gone its port takes connections that nobody will read.
            host.process.wait()
        elif fault.kind is FaultKind.FREEZE_HOST:
            host.process.send_signal(SIGSTOP)
        elif fault.kind is FaultKind.STOP_HOST:
            host.process.send_signal(SIGTERM)
        elif fault.kind is FaultKind.RELOAD_HOST:
            host.process.send_signal(SIGHUP)

    def _may_end(self, undo: _Undo) -> bool:
        down = undo.fault.kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST)
        return not down or undo.process.poll() is not None

    def _end(self, undo: _Undo) -> None:
        fault, host = undo.fault, self._host(undo.fault)
        if fault.kind in (*PROXY_MODES, *OF_PLATFORM, *OF_LINKS):
            self._put_in_force(fault)
        elif fault.kind is FaultKind.FREEZE_HOST:
            undo.process.send_signal(SIGCONT)
        elif fault.kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST):
            if host.process is undo.process:
                host.start()

    def _put_in_force(self, fault: Fault) -> None:
        """Let faults that are to last, of a kind, be those that have not ended."""
        if fault.kind in OF_PLATFORM:
            self._set_platform()
        elif fault.kind in OF_LINKS:
            self._cut_links()
        else:
            self._set_passage(fault)

    def _set_platform(self, forget: bool = False) -> None:
        lasting = [undo.fault for undo in self._undo]
        down = any(fault.kind is FaultKind.STORE_DOWN for fault in lasting)
        off = {number for fault in lasting for number in self._unlisted(fault)}
        self._deployment.set_faults(
            store_down=down, unlisted=sorted(off), forget=forget
        )

    def _unlisted(self, fault: Fault) -> set[int]:
        """Return the workers that a fault takes off the list."""
        if fault.kind not in OF_LIST:
            return set()
        workers = len(self._deployment.worker_proxies)
        count = workers // 2
        if fault.kind is FaultKind.LIST_SHORT:
            count = 1 + fault.target // len(self._deployment.hosts) % MOST_UNLISTED
        return {(fault.target + step) % workers for step in range(count)}

    def _set_passage(self, fault: Fault) -> None:
        of_workers = fault.kind in OF_WORKERS
        proxies = self._deployment.worker_proxies
        if not of_workers:
            proxies = [host.store_proxy for host in self._deployment.hosts]
        number = fault.target % len(proxies)
        lasting = [
            PROXY_MODES[undo.fault.kind]
            for undo in self._undo
            if undo.fault.kind in PROXY_MODES
            and (undo.fault.kind in OF_WORKERS) == of_workers
            and undo.fault.target % len(proxies) == number
        ]
        proxies[number].mode = lasting[-1] if lasting else ProxyMode.OPEN

    def _cut_links(self) -> None:
        hosts = self._deployment.hosts
        cuts = [u.fault for u in self._undo if u.fault.kind in OF_LINKS]
        for to, host in enumerate(hosts):
            host.link_proxy.blocked_senders = frozenset(
                other.name
                for sender, other in enumerate(hosts)
                if any(self._is_cut(cut, sender, to) for cut in cuts)
            )

    def _is_cut(self, cut: Fault, sender: int, to: int) -> bool:
        """Tell whether a cut keeps back what one host sends to another, by number."""
        number = cut.target % len(self._deployment.hosts)
        if cut.kind is FaultKind.HALVES_CUT:
            # Zones are dealt to hosts in turn: with two, these are the halves.
            return sender % 2 != to % 2
        if cut.kind is FaultKind.HOST_HEARS_NOBODY:
            return to == number
        if cut.kind is FaultKind.HOST_HEARD_BY_NOBODY:
            return sender == number
        return number in (sender, to)

    def _frozen(self, host: Host) -> bool:
        return any(
            undo.fault.kind is FaultKind.FREEZE_HOST and self._host(undo.fault) is host
            for undo in self._undo
        )

    def _host(self, fault: Fault) -> Host:
        hosts = self._deployment.hosts
        return hosts[fault.target % len(hosts)]


def _has_begun(host: Host) -> bool:
    return time.monotonic() - host.started_at >= BEGUN_S


def _same(one: Fault, other: Fault) -> bool:
    return (one.kind, one.target) == (other.kind, other.target)
