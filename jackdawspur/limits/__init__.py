"""Quotas, bounds on calls and waiting tasks, and retry budgets."""

from jackdawspur.limits._calls import CallBounds, CallLimits, LimitReached
from jackdawspur.limits._quotas import Quotas
from jackdawspur.limits._retries import RetryBudget

__all__ = ["CallBounds", "CallLimits", "LimitReached", "Quotas", "RetryBudget"]
