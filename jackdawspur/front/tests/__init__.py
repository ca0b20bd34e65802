"""Tests of jackdawspur.front."""
