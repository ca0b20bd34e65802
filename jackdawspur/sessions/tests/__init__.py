"""Tests of complete sessions against golden files."""
