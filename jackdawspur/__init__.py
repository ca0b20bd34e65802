"""A dispatcher for jobs of many sub-second tasks."""

from jackdawspur.exceptions import JackdawspurError

__all__ = ["JackdawspurError", "__version__"]

__version__ = "0.1.0"
