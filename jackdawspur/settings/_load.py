"""Loading of settings files, with errors that name the invalid fields."""

from typing import Annotated, TypeVar

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError

from jackdawspur.settings._address import check_address
from jackdawspur.settings._errors import SettingsError, read_file

__all__ = ["STRICT", "Address", "Name", "load_settings"]

T = TypeVar("T")

# Unknown fields are rejected: a misspelt one would silently leave a default in use.
STRICT = ConfigDict(extra="forbid")


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


def load_settings(settings_type: type[T], path: str) -> T:
    """Return the settings in a file; raise `SettingsError` if they are invalid."""
    data = read_file(path)
    try:
        return TypeAdapter(settings_type).validate_json(data)
    except ValidationError as error:
        raise SettingsError(f"{path}: {_describe(error)}") from error


def _describe(error: ValidationError) -> str:
    details = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(map(str, detail['loc'])) or 'file'}: {detail['msg']}"
        for detail in details
    )
