"""Settings of the stand-ins for the platform's systems."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

from jackdawspur.settings._load import STRICT, Address, Name

__all__ = [
    "HostListStandinSettings",
    "ListedHostSettings",
    "LogStandinSettings",
    "PlatformStandinSettings",
    "WorkerPoolStandinSettings",
]


@dataclass(frozen=True, slots=True)
class WorkerPoolStandinSettings:
    """Settings of a stand-in process that serves workers on several addresses."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    addresses: Annotated[tuple[Address, ...], Field(min_length=1, max_length=64)]
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    cpus: Annotated[int, Field(ge=1, le=4096)] = 32
    memory_mb: Annotated[int, Field(ge=1)] = 131_072
    accelerators: Annotated[int, Field(ge=0, le=64)] = 0
    usage_lag_ms: Annotated[float, Field(ge=0)] = 1000.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class LogStandinSettings:
    """Settings of the stand-in log; delay in milliseconds, retention in seconds."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    address: Address
    append_delay_ms: Annotated[float, Field(ge=0)] = 5.0
    appends_per_s: Annotated[float, Field(gt=0)] = 500.0
    records_kept: Annotated[int, Field(ge=1)] = 100_000
    seconds_kept: Annotated[float, Field(gt=0)] = 86_400.0


@dataclass(frozen=True, slots=True)
class PlatformStandinSettings:
    """Settings of the stand-in platform: a store and its workers in one process.

    `configuration` is published unchanged; `cpu` is in thousandths of a core.
    `announced` are the addresses at which workers are reached, if these differ from
    `workers`.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    store: Address
    workers: Annotated[tuple[Address, ...], Field(min_length=1, max_length=64)]
    zones: Annotated[tuple[str, ...], Field(min_length=1)]
    configuration: dict
    cpu: Annotated[int, Field(ge=2)] = 32_000
    announced: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedHostSettings:
    """A host that is on the stand-in list when it starts."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    zone: Name
    name: Name
    role: Literal["entry", "upstream"]


@dataclass(frozen=True, slots=True)
class HostListStandinSettings:
    """Settings of the stand-in host list; `lag_ms` in milliseconds."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    address: Address
    lag_ms: Annotated[float, Field(ge=0)] = 5000.0
    hosts: tuple[ListedHostSettings, ...] = ()
