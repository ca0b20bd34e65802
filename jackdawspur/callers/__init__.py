"""The HTTP interface to callers: request bodies, responses and status codes."""

import lazy_loader

# Modules are imported lazily: importing all of them makes a host's start a fifth of a
# second slower, and a zone that recovers from a power loss waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_bodies": [
            "BodyError",
            "IdsBody",
            "JobBody",
            "JobClassSettings",
            "TaskBody",
            "read_ids_body",
            "read_job_body",
            "to_request",
        ],
        "_replies": [
            "HttpResponse",
            "answer_response",
            "ids_response",
            "refusal_response",
        ],
    },
)
