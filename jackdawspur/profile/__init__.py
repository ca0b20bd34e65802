"""Profiles of how requests were served, from the logs of hosts."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_draw": ["draw_profile"],
        "_records": ["LogError", "LogRecords", "RequestRecord", "read_logs"],
        "_report": ["Profile", "Quantiles", "build_profile"],
        "_text": ["format_profile"],
    },
)
