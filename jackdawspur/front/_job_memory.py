"""Share of the process budget that the jobs of a host use."""

from jackdawspur.adapters import ProcessBudget, ResourceLimits
from jackdawspur.runs import MAX_TOTAL_SIZE, JobSizes

__all__ = ["JobMemory"]

# Memory of a unit of a job's size on the host of its caller, and on the leader.
HOST_UNIT_BYTES = 128
LEADER_UNIT_BYTES = 512
# Fraction of the memory for clients that jobs may use at most.
JOB_FRACTION = 0.5


class JobMemory:
    """Charge the jobs of a host's callers and those that it leads to one budget."""

    def __init__(
        self,
        limits: ResourceLimits,
        budget: ProcessBudget,
        own: JobSizes,
        led: JobSizes,
    ) -> None:
        self._budget = budget
        self._own = own
        self._led = led
        self._charged = 0
        unit_bytes = HOST_UNIT_BYTES + LEADER_UNIT_BYTES
        allowed = int(JOB_FRACTION * limits.client_bytes / unit_bytes)
        own.max_total = led.max_total = min(MAX_TOTAL_SIZE, allowed)

    def update(self) -> None:
        """Charge the jobs that are open now; unfinished requests give way to them."""
        held = self._own.total * HOST_UNIT_BYTES + self._led.total * LEADER_UNIT_BYTES
        self._budget.charge(held - self._charged)
        self._charged = held
        self._budget.reclaim()
