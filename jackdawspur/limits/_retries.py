"""Budgets that limit how often starts are retried."""

from jackdawspur.limits._bucket import TokenBucket

__all__ = ["RetryBudget"]

# Retries add at most a tenth to the starts of a customer and of the host, so if
# many starts are refused, the number of messages grows by a tenth and doesn't multiply.
RETRY_FRACTION = 0.1
# Retries allowed at once, so that a single full upstream makes no job fail.
CUSTOMER_BURST = 20.0
HOST_BURST = 200.0
# Retries per second that are always allowed, for customers with few starts.
CUSTOMER_RATE = 1.0
HOST_RATE = 10.0


class RetryBudget:
    """Retry budgets of the customers and of the host.

    Only starts that certainly didn't run may be retried: those that the upstream
    refused, or whose connection failed before a byte was sent. A start with an unknown
    outcome is never sent again.
    """

    def __init__(self) -> None:
        self._host = TokenBucket(HOST_RATE, HOST_BURST)
        self._customers: dict[str, TokenBucket] = {}

    def started(self, customer: str, now: float) -> None:
        """Credit both budgets with a fraction of a retry for a first start."""
        self._customer(customer).add_tokens(RETRY_FRACTION, now)
        self._host.add_tokens(RETRY_FRACTION, now)

    def may_retry(self, customer: str, now: float) -> bool:
        """Take one retry from both budgets, or return False and take none."""
        bucket = self._customer(customer)
        if not bucket.has(1.0, now) or not self._host.has(1.0, now):
            return False
        bucket.take(1.0, now)
        self._host.take(1.0, now)
        return True

    def set_customers(self, customers: frozenset[str]) -> None:
        """Drop the budgets of customers that are no longer configured."""
        for name in self._customers.keys() - customers:
            del self._customers[name]

    def _customer(self, customer: str) -> TokenBucket:
        bucket = self._customers.get(customer)
        if bucket is None:
            bucket = TokenBucket(CUSTOMER_RATE, CUSTOMER_BURST)
            self._customers[customer] = bucket
        return bucket
