"""An entry host as a process: the dispatch core and its adapters on one loop."""

from jackdawspur.entry._host import EntryHostProcess, run_entry

__all__ = ["EntryHostProcess", "run_entry"]
