"""The two current deployments: cluster specs, latencies and kinds of request."""

from dataclasses import dataclass, replace

from jackdawspur.model import (
    ClusterSpec,
    Contract,
    Customer,
    EntryHost,
    Objective,
    Upstream,
    UpstreamId,
)

__all__ = [
    "CUSTOMER_NAMES",
    "DEPLOYMENTS",
    "DERINSU",
    "RAMDENEE",
    "SMALL",
    "DeploymentSpec",
    "RequestKind",
    "build_cluster_spec",
]

INSIDE_ZONE_LATENCY_S = 0.0002
CUSTOMER_NAMES = ("alpha", "bravo", "charlie", "delta")
QUOTA_SLOTS = 192


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request; run times are in milliseconds."""

    name: str
    share: float
    min_ms: float
    max_ms: float
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Hosts, upstreams, kinds of request and one-way latencies in seconds."""

    name: str
    hosts_by_zone: tuple[int, ...]
    upstreams_by_zone: int
    between_zones_latency_s: float
    client_latency_s: float
    objective: Objective
    kinds: tuple[RequestKind, ...]
    slots: int = 8
    inside_zone_latency_s: float = INSIDE_ZONE_LATENCY_S

    @property
    def total_slots(self) -> int:
        """Return the total number of slots of all upstreams."""
        return len(self.hosts_by_zone) * self.upstreams_by_zone * self.slots

    @property
    def round_trip_s(self) -> float:
        """Return the round-trip time between a client and an upstream of its zone."""
        return 2 * (self.client_latency_s + self.inside_zone_latency_s)


RAMDENEE = DeploymentSpec(
    name="ramdenee",
    hosts_by_zone=(2, 2, 2),
    upstreams_by_zone=8,
    between_zones_latency_s=0.001,
    client_latency_s=0.003,
    objective=Objective.RESPONSE_TIME,
    kinds=(
        RequestKind("confirm_arrival", 0.4, 50.0, 300.0),
        RequestKind("reassign", 0.2, 100.0, 600.0, idempotent=False),
        RequestKind("ask_booked", 0.4, 100.0, 1000.0),
    ),
)
DERINSU = DeploymentSpec(
    name="derinsu",
    hosts_by_zone=(2, 2, 1, 1),
    upstreams_by_zone=6,
    between_zones_latency_s=0.0005,
    client_latency_s=0.001,
    objective=Objective.MESSAGES,
    kinds=(
        RequestKind("spot", 0.4, 50.0, 300.0),
        RequestKind("overlay", 0.2, 100.0, 1000.0, idempotent=False),
        RequestKind("fronts", 0.4, 100.0, 600.0),
    ),
)
DEPLOYMENTS = {item.name: item for item in (RAMDENEE, DERINSU)}
# Small enough for tests that run many faults.
SMALL = replace(
    RAMDENEE, name="small", hosts_by_zone=(2, 1), upstreams_by_zone=2, slots=4
)


def build_cluster_spec(deployment: DeploymentSpec, version: int = 1) -> ClusterSpec:
    """Return the cluster spec with which every host of a deployment starts."""
    contract = Contract(objective=deployment.objective)
    zones = [f"z{number + 1}" for number in range(len(deployment.hosts_by_zone))]
    return ClusterSpec(
        version=version,
        customers=tuple(
            Customer(name, QUOTA_SLOTS, contract=contract) for name in CUSTOMER_NAMES
        ),
        entry_hosts=tuple(
            EntryHost(zone, f"e{number + 1}", "127.0.0.1:1", "127.0.0.1:2")
            for zone, count in zip(zones, deployment.hosts_by_zone, strict=True)
            for number in range(count)
        ),
        upstreams=tuple(
            Upstream(
                UpstreamId(zone, f"u{number + 1}"),
                "127.0.0.1:3",
                slots=deployment.slots,
                rack=f"{zone}r1",
            )
            for zone in zones
            for number in range(deployment.upstreams_by_zone)
        ),
    )
