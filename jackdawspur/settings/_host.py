"""Settings of a host that serves on the customers' platform.

They are validated with msgspec, which hosts use for all their messages. pydantic, which
validates the other settings files, would add 0.15 s to each start of a host.
"""

from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Annotated, Literal, get_type_hints

import msgspec

from jackdawspur.settings._address import check_address
from jackdawspur.settings._errors import SettingsError, read_file

__all__ = ["HostSettings", "check_host_settings", "load_host_settings"]


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
MemoryMb = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Descriptors = Annotated[int, msgspec.Meta(ge=64, le=1_000_000)]


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity and addresses of a host, and the address of the platform's store.

    `announced` is the address at which other hosts reach the link, if it differs from
    `link`. `grace_s` is the time from SIGTERM to SIGKILL, in seconds. `processor` is
    the host's processor capacity in cores; hosts with more of it are preferred as
    leader. `link_mbps` is the capacity of its link in each direction, in Mbit/s. With
    more than `most_upstreams` upstreams, or more than the leader can handle, each zone
    has a leader of its own. `memory_mb` and `max_descriptors` are the memory and the
    file descriptors that the process may use.

    `priority_weights` are the costs of not serving a job, by the priority of its route,
    and `late_weight` is the factor for a job that can only be late. Under overload the
    jobs that cost least for their work are refused, but each route keeps
    `min_served_fraction` of its jobs. `remote_factor` is the factor on run times of
    tasks outside the rack that they prefer.
    """

    name: Name
    zone: Name
    callers: str
    ready: str
    link: str
    metrics: str | None
    store: str
    announced: str | None = None
    processor: Annotated[float, msgspec.Meta(gt=0, le=1024)] | None = None
    link_mbps: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] | None = None
    memory_mb: MemoryMb | None = None
    max_descriptors: Descriptors | None = None
    most_upstreams: Annotated[int, msgspec.Meta(ge=1)] = 64
    priority_weights: Annotated[
        tuple[Weight, ...], msgspec.Meta(min_length=1, max_length=16)
    ] = (16.0, 4.0, 1.0)
    late_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25
    min_served_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    remote_factor: Annotated[float, msgspec.Meta(ge=1, le=1000)] | None = None
    grace_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 6.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


ADDRESS_FIELDS = ("callers", "ready", "link", "announced", "metrics", "store")


def load_host_settings(path: str) -> HostSettings:
    """Return the settings in a JSON file; raise `SettingsError` if they are invalid."""
    data = read_file(path)
    try:
        values = msgspec.json.decode(data, type=dict[str, object])
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: file: {error}") from error
    return check_host_settings(values, path)


def check_host_settings(
    values: Mapping[str, object],
    path: str,
    display_names: Mapping[str, str] | None = None,
    numbers_as_text: bool = False,
) -> HostSettings:
    """Return validated settings; raise `SettingsError` with all errors at once.

    `display_names` maps fields to their names in the file, where these differ. With
    `numbers_as_text` numbers may be given as text.
    """
    hints = get_type_hints(HostSettings, include_extras=True)
    # Unknown fields are rejected: a misspelt one would silently leave a default in use.
    errors = {name: "unknown field" for name in values if name not in hints}
    validated: dict[str, object] = {}
    for field in fields(HostSettings):
        if field.name in values:
            try:
                validated[field.name] = _convert(
                    field.name, values[field.name], hints[field.name], numbers_as_text
                )
            except (msgspec.ValidationError, ValueError) as error:
                errors[field.name] = str(error)
        elif field.default is MISSING:
            errors[field.name] = "field required"
    if errors:
        names = ((display_names or {}).get(name, name) for name in errors)
        pairs = zip(names, errors.values(), strict=True)
        raise SettingsError(
            f"{path}: {'; '.join(f'{name}: {text}' for name, text in pairs)}"
        )
    return HostSettings(**validated)


def _convert(
    name: str, value: object, expected_type: type, numbers_as_text: bool
) -> object:
    """Return a validated value; raise `ValidationError` or `ValueError`."""
    converted = msgspec.convert(value, expected_type, strict=not numbers_as_text)
    if name in ADDRESS_FIELDS and converted is not None:
        return check_address(converted)
    return converted
