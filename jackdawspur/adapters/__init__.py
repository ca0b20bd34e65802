"""Adapters between the core logic and the network."""

import lazy_loader

# Modules are imported lazily: importing all of them makes a host's start a fifth of a
# second slower, and a zone that recovers from a power loss waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_addresses": ["split_address"],
        "_timer_queue": ["TimerHandle", "TimerQueue"],
        "_hostlist_http": ["HttpHostList"],
        "_http_client": ["HttpClient", "HttpClientLimits", "ResponseCallback"],
        "_reply_reader": ["ClientResponse"],
        "_links": ["Links"],
        "_log_http": ["HttpLog", "LogTimeouts"],
        "_process_budget": ["ProcessBudget", "ResourceLimits"],
        "_queues": ["Inbox", "Outbox"],
        "_upstream_http": ["HttpUpstreamClient", "UpstreamTimeouts"],
        "_web": ["WebServer"],
        "_web_service": ["Call", "WebService"],
    },
)
