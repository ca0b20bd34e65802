"""Tests of the data model."""
