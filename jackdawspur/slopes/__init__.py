"""Measure what a role's state, messages and processor time grow with."""

from jackdawspur.slopes._fit import Slope, fit

__all__ = ["Slope", "fit"]
