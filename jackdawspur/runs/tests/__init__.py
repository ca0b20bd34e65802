"""Tests of the leading host's decisions."""
