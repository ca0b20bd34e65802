"""Tests of the links between entry hosts."""
