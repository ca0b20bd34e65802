"""Data model of the configuration document that operators maintain."""

import enum
import ipaddress
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import AfterValidator, ConfigDict, Field

from jackdawspur.model import Contract, Objective
from jackdawspur.model._job import MAX_TASKS_PER_JOB

__all__ = [
    "MAX_HISTORY",
    "SCHEMA_VERSION",
    "Configuration",
    "ContractTerms",
    "CustomerEntry",
    "EntryHostEntry",
    "JobClass",
    "OperatorEntry",
    "Policies",
    "Right",
    "UpstreamEntry",
    "ZoneEntry",
]

SCHEMA_VERSION = 1
# Number of changes that a state machine keeps. Snapshots must be written after fewer.
MAX_HISTORY = 256
MAX_CUSTOMERS = 2_000
MAX_OPERATORS = 500
MAX_ZONES = 200
MAX_ENTRY_HOSTS = 2_000
MAX_UPSTREAMS = 20_000
# Within a known schema version, an unknown field is a spelling error: reject it.
STRICT = ConfigDict(extra="forbid")


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port) if port.isdecimal() else 0
    except ValueError:
        number = 0
    if not 1 <= number <= 65535:
        raise ValueError("must be IP:port; host names are not resolved")
    return text


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Address = Annotated[str, AfterValidator(_check_address)]
TokenHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
TokenHashes = Annotated[tuple[TokenHash, ...], Field(min_length=1, max_length=8)]


class Right(enum.StrEnum):
    """Permission of an operator."""

    VIEW = "view"
    PLAN = "plan"
    CONFIRM = "confirm"


@dataclass(frozen=True, slots=True, kw_only=True)
class ContractTerms:
    """Service-level terms of a customer; `max_wait_ms` in milliseconds."""

    __pydantic_config__ = STRICT

    objective: Objective = Objective.RESPONSE_TIME
    tail_over_ideal: Annotated[float, Field(ge=1, le=100)] = 2.0
    max_wait_ms: Annotated[float, Field(ge=0, le=60_000)] = 2000.0

    @property
    def contract(self) -> Contract:
        """Return the terms as a `Contract` of the model."""
        return Contract(self.objective, self.tail_over_ideal, self.max_wait_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobClass:
    """Default settings and limits of one job class."""

    __pydantic_config__ = STRICT

    name: Name
    deadline_ms: Annotated[float, Field(ge=1, le=600_000)] = 10_000.0
    max_tasks: Annotated[int, Field(ge=1, le=MAX_TASKS_PER_JOB)] = MAX_TASKS_PER_JOB
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerEntry:
    """Customer with the SHA-256 of its tokens, its quota and contract."""

    __pydantic_config__ = STRICT

    name: Name
    token_sha256: TokenHashes
    quota_slots: Annotated[int, Field(ge=1, le=1_000_000)]
    weight: Annotated[float, Field(ge=0.01, le=1_000)] = 1.0
    contract: ContractTerms = ContractTerms()
    classes: Annotated[tuple[JobClass, ...], Field(max_length=100)] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorEntry:
    """Operator with the SHA-256 of its tokens, and its rights."""

    __pydantic_config__ = STRICT

    name: Name
    token_sha256: TokenHashes
    rights: Annotated[tuple[Right, ...], Field(min_length=1)] = (Right.VIEW,)


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneEntry:
    """Availability zone and its region."""

    __pydantic_config__ = STRICT

    name: Name
    region: Name


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryHostEntry:
    """Entry host and the addresses on which it listens."""

    __pydantic_config__ = STRICT

    zone: Name
    name: Name
    http: Address
    link: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """Upstream with its address and capacity."""

    __pydantic_config__ = STRICT

    zone: Name
    name: Name
    address: Address
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    connections: Annotated[int, Field(ge=1, le=65535)] = 64
    cpus: Annotated[int, Field(ge=1, le=4096)] = 32
    memory_mb: Annotated[int, Field(ge=1, le=67_108_864)] = 131_072
    accelerators: Annotated[int, Field(ge=0, le=64)] = 0
    rack: Annotated[str, Field(max_length=63)] = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Policies:
    """Settings that apply to all zones; names with a unit end in it."""

    __pydantic_config__ = STRICT

    eject_after_failures: Annotated[int, Field(ge=1, le=1000)] = 2
    eject_max_share: Annotated[float, Field(ge=0, le=1)] = 0.34
    readmit_after_s: Annotated[float, Field(ge=0.1, le=3600)] = 5.0
    snapshot_after_changes: Annotated[int, Field(ge=10, le=MAX_HISTORY - 6)] = 200
    snapshot_interval_s: Annotated[float, Field(ge=60, le=86_400)] = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Complete configuration in one schema version."""

    __pydantic_config__ = STRICT

    schema_version: Literal[SCHEMA_VERSION] = SCHEMA_VERSION
    customers: Annotated[
        tuple[CustomerEntry, ...], Field(max_length=MAX_CUSTOMERS)
    ] = ()
    operators: Annotated[
        tuple[OperatorEntry, ...], Field(max_length=MAX_OPERATORS)
    ] = ()
    zones: Annotated[tuple[ZoneEntry, ...], Field(max_length=MAX_ZONES)] = ()
    entry_hosts: Annotated[
        tuple[EntryHostEntry, ...], Field(max_length=MAX_ENTRY_HOSTS)
    ] = ()
    upstreams: Annotated[
        tuple[UpstreamEntry, ...], Field(max_length=MAX_UPSTREAMS)
    ] = ()
    policies: Policies = Policies()
