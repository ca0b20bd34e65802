"""Tests of the health of upstreams."""
