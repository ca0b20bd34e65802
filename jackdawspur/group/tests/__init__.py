"""Tests of jackdawspur.group."""
