"""Settings of a host that serves on the customers' platform."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

from jackdawspur.settings._load import STRICT, Address

__all__ = ["HostSettings"]

Port = Annotated[int, Field(ge=1, le=65_535)]


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Say who a host is, where it listens and where the platform's store is.

    `grace_s` is how long after SIGTERM the platform kills, in seconds. `processor` is
    the host's share of one, in cores: hosts with more of it lead first. Where there are
    more than `most_upstreams`, each zone has a leading host of its own.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    name: Annotated[str, Field(min_length=1, max_length=200)]
    zone: Annotated[str, Field(min_length=1, max_length=200)]
    callers: Address
    ready: Address
    link: Address
    metrics: Address | None
    store: Address
    processor: Annotated[float, Field(gt=0, le=1024)] = 1.0
    most_upstreams: Annotated[int, Field(ge=1)] = 64
    grace_s: Annotated[float, Field(gt=0, le=600)] = 6.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
