"""Wire formats of the platform's JSON bodies.

All field names are the platform's. The fields are documented in the product's types, to
which the bodies are translated. Unknown fields are ignored, as the platform may add
some.
"""

import msgspec

__all__ = [
    "ConfigurationBody",
    "HoldBody",
    "HoldReply",
    "JobBody",
    "NewestPage",
    "RefusalBody",
    "RunStartBody",
    "RunStopBody",
    "ServerBody",
    "StepBody",
]


class StepBody(msgspec.Struct):
    """Wire format of a job's step; `requires` and `affinity` are upstream labels."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    requires: str = ""
    affinity: str = ""
    max_per_server: int = 0
    gang: bool = False
    long_running: bool = False
    speculative: bool = False


class JobBody(msgspec.Struct):
    """Wire format of a job; a `best_effort` job needn't outlive its request."""

    steps: list[StepBody]
    spec: str = ""
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


class RouteBody(msgspec.Struct):
    """Wire format of a route.

    The target response time is the work on the longest chain of steps times `stretch`,
    plus `slo_ms`.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float | None = None
    slo_ms: float = 0.0
    stretch: float = 1.0
    priority: int = 0
    max_attempts: int = 1


class LimitsBody(msgspec.Struct, frozen=True):
    """Wire format of the limits of requests."""

    max_body_bytes: int = 262_144
    max_header_bytes: int = 65_536


class ConfigurationBody(msgspec.Struct):
    """Wire format of a configuration."""

    version: int
    routes: list[RouteBody] = []
    limits: LimitsBody = LimitsBody()


class CapacityBody(msgspec.Struct, frozen=True):
    """Wire format of an upstream's resources; `cpu` in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class ServerBody(msgspec.Struct):
    """Wire format of an upstream's entry in the store."""

    service: str
    address: str
    zone: str
    state: str = "ready"
    capacity: CapacityBody = CapacityBody()
    labels: list[str] = []


class RunStartBody(msgspec.Struct):
    """Wire format of a request to start a run."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int


class RunStopBody(msgspec.Struct):
    """Wire format of a request to stop a run."""

    task: str
    run: int
    fencing_token: int


class HoldBody(msgspec.Struct, omit_defaults=True):
    """Wire format of a poll; `last_seen` acknowledges all ended runs up to it."""

    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class HoldReply(msgspec.Struct):
    """Wire format of a reply to a poll, with running and ended runs as rows.

    `born` is the time when the upstream started, in milliseconds since 1970.
    """

    clock_ms: int
    running: list[list[str | int | float]] = []
    ended: list[list[str | int | float]] = []
    born: int = 0


class RefusalBody(msgspec.Struct):
    """Wire format of the reason for a refused call."""

    reason: str = ""


class NewestItem(msgspec.Struct):
    """Wire format of the newest record of a key; `value` is in base64."""

    key: str
    value: bytes = b""
    offset: int = 0


class NewestPage(msgspec.Struct):
    """Wire format of a page of newest records."""

    items: list[NewestItem] = []
    more: bool = False
    end: int = 0


class HostBody(msgspec.Struct):
    """Wire format of a host's announcement, which only other hosts read."""

    name: str
    zone: str
    link: str
    started_ms: int
    processor: float = 1.0
