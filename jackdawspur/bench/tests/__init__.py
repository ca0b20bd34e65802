"""Tests of the bench, and of the dispatcher by means of the bench."""
