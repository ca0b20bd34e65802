"""Settings of an entry host."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

from jackdawspur.settings._load import STRICT, Address, Name

__all__ = ["EntrySettings", "OperatorSettings", "PeerSettings"]

Sha256 = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """An operator who may plan the first configuration."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    name: Name
    token_sha256: Sha256


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Addresses of another entry host, for a start while the log is unavailable."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    zone: Name
    name: Name
    http: Address
    link: Address


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity and addresses of an entry host, and addresses of the platform.

    `drain_ms` is the maximum duration of a graceful shutdown, in milliseconds. With
    `crosses_zones` the host may start tasks on upstreams of other zones that lend it
    slots. `memory_mb` and `max_descriptors` are the memory and the file descriptors
    that the process may use.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    zone: Name
    name: Name
    http: Address
    link: Address
    log: Address
    host_list: Address | None = None
    statsd: Address | None = None
    siblings: tuple[PeerSettings, ...] = ()
    operators: tuple[OperatorSettings, ...] = ()
    crosses_zones: bool = True
    memory_mb: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    max_descriptors: Annotated[int, Field(ge=64, le=1_000_000)] | None = None
    drain_ms: Annotated[float, Field(gt=0, le=600_000)] = 15_000.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
