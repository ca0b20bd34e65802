"""Admission, order of waiting jobs and tasks, and estimation of run times."""

import lazy_loader

# A host on the customers' platform needs only the run time estimator. Importing the
# other modules would only make its start slower.
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
