"""Tests of the pictures."""
