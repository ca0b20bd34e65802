"""Every policy that the bench can run."""

from dataclasses import dataclass

from jackdawspur.bench._baselines import BASELINES
from jackdawspur.bench._dispatcher import DispatcherFactory

__all__ = ["OWN_POLICY", "POLICIES", "Policy"]

OWN_POLICY = "own"


@dataclass(frozen=True, slots=True)
class Policy:
    """Name a policy; `owns` when it honours ids and keys over all hosts."""

    name: str
    make: DispatcherFactory
    owns: bool = False


POLICIES = {name: Policy(name, make) for name, make in BASELINES.items()}
