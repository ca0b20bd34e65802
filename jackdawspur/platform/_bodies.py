"""Bodies as the platform spells them.

Every name of a field here is the platform's; the types of the product say what each
holds. Unknown fields are ignored, as the platform may add some.
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
    """Spell a step of a job; `requires` and `affinity` are labels of upstreams."""

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
    """Spell a job; `best_effort` means that it need not outlive its request."""

    steps: list[StepBody]
    spec: str = ""
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


class RouteBody(msgspec.Struct):
    """Spell a route; `slo_ms` is what the objective adds to the stretched work."""

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
    """Spell the limits of requests."""

    max_body_bytes: int = 262_144


class ConfigurationBody(msgspec.Struct):
    """Spell a configuration."""

    version: int
    routes: list[RouteBody] = []
    limits: LimitsBody = LimitsBody()


class CapacityBody(msgspec.Struct, frozen=True):
    """Spell what an upstream has; `cpu` in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class ServerBody(msgspec.Struct):
    """Spell an upstream's entry."""

    service: str
    address: str
    zone: str
    state: str = "ready"
    capacity: CapacityBody = CapacityBody()
    labels: list[str] = []


class RunStartBody(msgspec.Struct):
    """Spell a start."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int


class RunStopBody(msgspec.Struct):
    """Spell a stop."""

    task: str
    run: int
    fencing_token: int


class HoldBody(msgspec.Struct, omit_defaults=True):
    """Spell a look; `last_seen` takes note of the ends up to it."""

    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class HoldReply(msgspec.Struct):
    """Spell what an upstream runs and what ended there, as rows.

    `born` is when it started, in milliseconds since 1970.
    """

    clock_ms: int
    running: list[list[str | int | float]] = []
    ended: list[list[str | int | float]] = []
    born: int = 0


class RefusalBody(msgspec.Struct):
    """Spell why a call was refused."""

    reason: str = ""


class NewestItem(msgspec.Struct):
    """Spell the newest record of a key; `value` is in base64."""

    key: str
    value: bytes = b""
    offset: int = 0


class NewestPage(msgspec.Struct):
    """Spell a page of newest records."""

    items: list[NewestItem] = []
    more: bool = False
    end: int = 0


class HostBody(msgspec.Struct):
    """Spell a host's own announcement, which only hosts read."""

    name: str
    zone: str
    link: str
    started_ms: int
    processor: float = 1.0
