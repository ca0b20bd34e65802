"""Histograms of response times."""

from jackdawspur.metrics._histograms import HistogramKey, Histograms, HistogramSummary

__all__ = ["HistogramKey", "HistogramSummary", "Histograms"]
