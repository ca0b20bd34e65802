"""Settings of an entry host."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

from jackdawspur.settings._load import STRICT, Address, Name

__all__ = ["EntrySettings", "OperatorSettings", "PeerSettings"]

Sha256 = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Name an operator who may plan the first configuration."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    name: Name
    token_sha256: Sha256


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Say where another entry host listens, for a start while the log is down."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    zone: Name
    name: Name
    http: Address
    link: Address


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Say who an entry host is and where it finds the platform.

    `drain_ms` bounds a graceful shutdown, in milliseconds. With `crosses_zones` this
    host may start tasks on upstreams of other zones that lend it a slot.
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
    drain_ms: Annotated[float, Field(gt=0, le=600_000)] = 15_000.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
