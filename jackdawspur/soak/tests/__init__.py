"""Tests of jackdawspur.soak."""
