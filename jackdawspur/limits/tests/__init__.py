"""Tests of quotas, bounds on calls and retry budgets."""
