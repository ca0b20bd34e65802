"""Tests of the decisions of one entry host."""
