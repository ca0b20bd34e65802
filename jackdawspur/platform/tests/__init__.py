"""Tests of jackdawspur.platform."""
