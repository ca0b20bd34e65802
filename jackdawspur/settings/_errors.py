"""Reading of settings files and their errors."""

from pathlib import Path

from jackdawspur.exceptions import JackdawspurError

__all__ = ["SettingsError", "read_file"]


class SettingsError(JackdawspurError):
    """Raised when a settings file is invalid; the message names each invalid field."""


def read_file(path: str) -> bytes:
    """Return the bytes of a file; raise `SettingsError` if it can't be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
