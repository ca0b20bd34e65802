"""Links between entry hosts: the message codec and the filter of stale messages."""

import lazy_loader

# Modules are imported lazily: importing all of them makes a host's start a fifth of a
# second slower, and a zone that recovers from a power loss waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_codec": [
            "Envelope",
            "LinkError",
            "SCHEMA_VERSION",
            "UnknownSchemaError",
            "MessageDecodeError",
            "decode",
            "encode",
        ],
        "_stale": ["StaleFilter"],
    },
)
