"""Thin adapters between the decision logic and the circuits loop."""
