"""Tests of the leader's scheduling decisions."""
