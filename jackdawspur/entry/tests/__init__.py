"""Tests of entry hosts as real processes."""
