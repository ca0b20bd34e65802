"""Histograms of response times."""

from jackdawspur.metrics._histograms import ClassName, Histograms, Percentiles

__all__ = ["ClassName", "Histograms", "Percentiles"]
