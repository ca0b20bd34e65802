"""Golden files of complete sessions: requests, replies and log lines in order."""

__all__: list[str] = []
