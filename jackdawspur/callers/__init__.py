"""The callers' interface: request bodies, answers and status codes."""

import lazy_loader

# A host imports the modules that it uses: all of them cost its start a fifth of a
# second more, and a zone that lost power waits for its hosts.
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
