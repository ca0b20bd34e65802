"""The two deployments of today, as worlds with latencies."""

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
    "Kind",
    "build_world",
]

LOCAL_S = 0.0002
CUSTOMER_NAMES = ("alpha", "bravo", "charlie", "delta")
QUOTA_SLOTS = 192


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of request; run times in milliseconds."""

    name: str
    share: float
    shortest_ms: float
    longest_ms: float
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Describe hosts, upstreams and one-way latencies in seconds."""

    name: str
    hosts_by_zone: tuple[int, ...]
    upstreams_by_zone: int
    between_zones_s: float
    client_s: float
    objective: Objective
    kinds: tuple[Kind, ...]
    slots: int = 8
    inside_zone_s: float = LOCAL_S

    @property
    def total_slots(self) -> int:
        """Return the slots of all upstreams together."""
        return len(self.hosts_by_zone) * self.upstreams_by_zone * self.slots

    @property
    def round_trip_s(self) -> float:
        """Return the way from a client to an upstream of the zone and back."""
        return 2 * (self.client_s + self.inside_zone_s)


RAMDENEE = DeploymentSpec(
    name="ramdenee",
    hosts_by_zone=(2, 2, 2),
    upstreams_by_zone=8,
    between_zones_s=0.001,
    client_s=0.003,
    objective=Objective.RESPONSE_TIME,
    kinds=(
        Kind("confirm_arrival", 0.4, 50.0, 300.0),
        Kind("reassign", 0.2, 100.0, 600.0, idempotent=False),
        Kind("ask_booked", 0.4, 100.0, 1000.0),
    ),
)
DERINSU = DeploymentSpec(
    name="derinsu",
    hosts_by_zone=(2, 2, 1, 1),
    upstreams_by_zone=6,
    between_zones_s=0.0005,
    client_s=0.001,
    objective=Objective.MESSAGES,
    kinds=(
        Kind("spot", 0.4, 50.0, 300.0),
        Kind("overlay", 0.2, 100.0, 1000.0, idempotent=False),
        Kind("fronts", 0.4, 100.0, 600.0),
    ),
)
DEPLOYMENTS = {item.name: item for item in (RAMDENEE, DERINSU)}
# Quick to run, so that tests can bring about many faults.
SMALL = replace(
    RAMDENEE, name="small", hosts_by_zone=(2, 1), upstreams_by_zone=2, slots=4
)


def build_world(deployment: DeploymentSpec, version: int = 1) -> ClusterSpec:
    """Return the configuration that every host of a deployment starts with."""
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
