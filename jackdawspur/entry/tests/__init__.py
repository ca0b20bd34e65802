"""Tests of the entry host, in parts and as real processes."""
