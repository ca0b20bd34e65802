"""Fuzzing of each entrance, with fixed seeds unless more is asked for."""
