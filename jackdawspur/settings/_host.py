"""Settings of a host that serves on the customers' platform.

They are checked by msgspec, which hosts use for all their messages. pydantic, which
checks what people write by hand, would add 0.15 s to each start of a host.
"""

from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Annotated, Literal, get_type_hints

import msgspec

from jackdawspur.settings._address import check_address
from jackdawspur.settings._errors import SettingsError, read_file

__all__ = ["HostSettings", "check_host_settings", "load_host_settings"]


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Say who a host is, where it listens and where the platform's store is.

    `announced` is where other hosts reach the link, if not where it listens.
    `grace_s` is how long after SIGTERM the platform kills, in seconds. `processor` is
    the host's share of one, in cores: hosts with more of it lead first. `link_mbps` is
    what its link carries each way, in Mbit/s. Where there are more than
    `most_upstreams`, or than the leading host carries, each zone has one of its own.
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
    most_upstreams: Annotated[int, msgspec.Meta(ge=1)] = 64
    grace_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 6.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


ADDRESSES = ("callers", "ready", "link", "announced", "metrics", "store")


def load_host_settings(path: str) -> HostSettings:
    """Return the checked settings of a file in JSON; raise `SettingsError`."""
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
    """Return settings; raise `SettingsError` with all faults at once.

    `display_names` has the names under which the file knows fields, where these differ.
    With `numbers_as_text` numbers may come as text.
    """
    hints = get_type_hints(HostSettings, include_extras=True)
    # A misspelt key must not leave a default in force unseen.
    faults = {name: "unknown field" for name in values if name not in hints}
    checked: dict[str, object] = {}
    for field in fields(HostSettings):
        if field.name in values:
            try:
                checked[field.name] = _convert(
                    field.name, values[field.name], hints[field.name], numbers_as_text
                )
            except (msgspec.ValidationError, ValueError) as error:
                faults[field.name] = str(error)
        elif field.default is MISSING:
            faults[field.name] = "field required"
    if faults:
        names = ((display_names or {}).get(name, name) for name in faults)
        pairs = zip(names, faults.values(), strict=True)
        raise SettingsError(f"{path}: {'; '.join(f'{n}: {f}' for n, f in pairs)}")
    return HostSettings(**checked)


def _convert(name: str, value: object, kind: type, text: bool) -> object:
    """Return a checked value; raise msgspec's or a plain `ValueError`."""
    converted = msgspec.convert(value, kind, strict=not text)
    if name in ADDRESSES and converted is not None:
        return check_address(converted)
    return converted
