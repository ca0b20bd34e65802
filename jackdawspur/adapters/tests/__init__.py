"""Tests of the network adapters."""
