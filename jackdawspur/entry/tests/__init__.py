"""Tests of the entry host."""
