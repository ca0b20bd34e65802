"""Tests of the dispatch logic of one entry host."""
