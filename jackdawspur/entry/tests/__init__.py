"""Tests of entry hosts, most of them with real processes."""
