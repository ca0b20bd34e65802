"""Bound how often starts are sent again."""

from jackdawspur.limits._bucket import TokenBucket

__all__ = ["RetryBudget"]

# Retries add at most a tenth to the starts of a customer and of the host. A storm of
# refusals then costs a tenth more messages, not a multiple.
RETRY_FRACTION = 0.1
# Retries that may come at once, so that one full upstream fails nothing.
CUSTOMER_BURST = 20.0
HOST_BURST = 200.0
# Retries a second that are always allowed, for a customer with few starts.
CUSTOMER_RATE = 1.0
HOST_RATE = 10.0


class RetryBudget:
    """Allow resending of starts that are known not to have run.

    Only "not started", or a connection that failed before a byte left, may ask here;
    a start with an unknown outcome is never sent again.
    """

    def __init__(self) -> None:
        self._host = TokenBucket(HOST_RATE, HOST_BURST)
        self._customers: dict[str, TokenBucket] = {}

    def started(self, customer: str, now: float) -> None:
        """Earn a fraction of a retry by a first start."""
        self._customer(customer).earn(RETRY_FRACTION, now)
        self._host.earn(RETRY_FRACTION, now)

    def may_retry(self, customer: str, now: float) -> bool:
        """Take a retry from both budgets, or return False and take nothing."""
        bucket = self._customer(customer)
        if not bucket.has(1.0, now) or not self._host.has(1.0, now):
            return False
        bucket.take(1.0, now)
        self._host.take(1.0, now)
        return True

    def set_customers(self, customers: frozenset[str]) -> None:
        """Forget customers that the configuration no longer has."""
        for name in self._customers.keys() - customers:
            del self._customers[name]

    def _customer(self, customer: str) -> TokenBucket:
        bucket = self._customers.get(customer)
        if bucket is None:
            bucket = TokenBucket(CUSTOMER_RATE, CUSTOMER_BURST)
            self._customers[customer] = bucket
        return bucket
