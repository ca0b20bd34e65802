"""Experiments on virtual time."""
