"""Reading a settings file, with every fault named by its field."""

from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError

from jackdawspur.exceptions import JackdawspurError

__all__ = ["STRICT", "Address", "Name", "SettingsError", "load_settings"]

T = TypeVar("T")

# A misspelt key must not leave a default in force unseen.
STRICT = ConfigDict(extra="forbid")
MAX_PORT = 65_535


class SettingsError(JackdawspurError):
    """Raise when a settings file can't be used; names each field."""


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    parts = host.split(".")
    numbers = len(parts) == 4 and all(p.isdigit() and int(p) <= 255 for p in parts)
    if not separator or not numbers or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("expected an address such as 127.0.0.1:18001")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


def load_settings(kind: type[T], path: str) -> T:
    """Return the checked settings of a file; raise `SettingsError`."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        return TypeAdapter(kind).validate_json(data)
    except ValidationError as error:
        raise SettingsError(f"{path}: {_describe(error)}") from error


def _describe(error: ValidationError) -> str:
    details = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(map(str, d['loc'])) or 'file'}: {d['msg']}" for d in details
    )
