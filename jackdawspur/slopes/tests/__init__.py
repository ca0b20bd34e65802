"""Tests of the slopes package."""
