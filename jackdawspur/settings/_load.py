"""Reading a settings file, with every fault named by its field."""

from typing import Annotated, TypeVar

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError

from jackdawspur.settings._address import check_address
from jackdawspur.settings._errors import SettingsError, read_file

__all__ = ["STRICT", "Address", "Name", "load_settings"]

T = TypeVar("T")

# A misspelt key must not leave a default in force unseen.
STRICT = ConfigDict(extra="forbid")


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


def load_settings(kind: type[T], path: str) -> T:
    """Return the checked settings of a file; raise `SettingsError`."""
    data = read_file(path)
    try:
        return TypeAdapter(kind).validate_json(data)
    except ValidationError as error:
        raise SettingsError(f"{path}: {_describe(error)}") from error


def _describe(error: ValidationError) -> str:
    details = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(map(str, d['loc'])) or 'file'}: {d['msg']}" for d in details
    )
