"""Tests of pictures."""
