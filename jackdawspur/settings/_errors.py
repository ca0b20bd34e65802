"""What goes wrong with a settings file."""

from pathlib import Path

from jackdawspur.exceptions import JackdawspurError

__all__ = ["SettingsError", "read_file"]


class SettingsError(JackdawspurError):
    """Raise when a settings file can't be used; names each field."""


def read_file(path: str) -> bytes:
    """Return the bytes of a file; raise `SettingsError`."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
