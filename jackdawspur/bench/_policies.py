"""The policies that the bench can run."""

from dataclasses import dataclass

from jackdawspur.bench._baselines import BASELINES
from jackdawspur.bench._dispatcher import DispatcherFactory
from jackdawspur.bench._product_dispatcher import ProductDispatcher

__all__ = ["POLICIES", "PRODUCT_POLICY", "Policy"]

PRODUCT_POLICY = "own"


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy; `deduplicates` if it honours ids and keys across all hosts."""

    name: str
    make: DispatcherFactory
    deduplicates: bool = False


POLICIES = {
    PRODUCT_POLICY: Policy(PRODUCT_POLICY, ProductDispatcher, deduplicates=True),
    **{name: Policy(name, make) for name, make in BASELINES.items()},
}
