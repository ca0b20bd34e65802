"""The order of jobs and tasks, learned run times and admission."""

import lazy_loader

# A host on the customers' platform uses the learned run times alone, and the rest would
# only make its start longer.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_admission": [
            "AdmissionController",
            "AdmissionDecision",
            "Admit",
            "LocalLoad",
            "Refuse",
            "UpstreamSizes",
            "expected_wait_ms",
            "refuse_oversized",
        ],
        "_peer_selector": ["DelegationTarget", "HostLoad", "PeerSelector"],
        "_job": ["NextTask", "QueuedJob", "Reservation"],
        "_queue": ["JobQueue"],
        "_run_times": ["Moments", "RunTimeEstimator"],
    },
)
