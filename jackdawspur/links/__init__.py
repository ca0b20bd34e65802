"""Links between entry hosts: the codec and the guard against stale messages."""

import lazy_loader

# A host imports the modules that it uses: all of them cost its start a fifth of a
# second more, and a zone that lost power waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_codec": [
            "Envelope",
            "LinkError",
            "SCHEMA_VERSION",
            "UnknownSchema",
            "UnreadableMessage",
            "decode",
            "encode",
        ],
        "_stale": ["StaleFilter"],
    },
)
