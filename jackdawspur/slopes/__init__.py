"""Measure how memory, message sizes and processor time grow with each size."""

from jackdawspur.slopes._fit import Slope, fit

__all__ = ["Slope", "fit"]
