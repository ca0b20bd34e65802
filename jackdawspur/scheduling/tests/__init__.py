"""Tests of admission, order and run time estimation of waiting jobs."""
