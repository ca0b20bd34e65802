"""Fuzz tests of each input; reproducible unless FUZZ_EXAMPLES is set."""
