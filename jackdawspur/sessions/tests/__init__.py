"""Golden files of whole sessions."""
