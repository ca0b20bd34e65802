"""Tests of the adapters to the customers' platform."""
