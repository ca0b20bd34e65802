"""One entry host as a process: the decisions and their adapters on one loop."""

from jackdawspur.entry._host import EntryHostProcess, run_entry

__all__ = ["EntryHostProcess", "run_entry"]
