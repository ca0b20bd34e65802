"""Tests of sharing slots."""
