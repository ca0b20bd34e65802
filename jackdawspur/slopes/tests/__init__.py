"""Tests of the slopes."""
