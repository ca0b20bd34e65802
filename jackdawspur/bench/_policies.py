"""Every policy that the bench can run."""

from dataclasses import dataclass

from jackdawspur.bench._baselines import BASELINES
from jackdawspur.bench._dispatcher import DispatcherFactory
from jackdawspur.bench._own import ProductDispatcher

__all__ = ["POLICIES", "PRODUCT_POLICY", "Policy"]

PRODUCT_POLICY = "own"


@dataclass(frozen=True, slots=True)
class Policy:
    """Name a policy; `owns` when it honours ids and keys over all hosts."""

    name: str
    make: DispatcherFactory
    owns: bool = False


POLICIES = {
    PRODUCT_POLICY: Policy(PRODUCT_POLICY, ProductDispatcher, owns=True),
    **{name: Policy(name, make) for name, make in BASELINES.items()},
}
