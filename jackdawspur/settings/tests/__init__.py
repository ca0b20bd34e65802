"""Tests of settings files."""
