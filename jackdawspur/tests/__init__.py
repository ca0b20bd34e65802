"""Tests of the repository as a whole: documents, layers and sizes."""
