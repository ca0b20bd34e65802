"""Tests of the profiles."""
