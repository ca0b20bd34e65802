"""Tests of jackdawspur.leases."""
