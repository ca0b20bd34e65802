"""Tests of the bench, and of the dispatcher through it."""
