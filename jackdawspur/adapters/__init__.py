"""Adapters between the core logic and the network."""

import lazy_loader

# Lazy, so that a host imports only the modules it uses: importing all of them delays
# its start by a fifth of a second, and a zone that lost power waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_addresses": ["split_address"],
        "_timer_queue": ["TimerHandle", "TimerQueue"],
        "_hostlist_http": ["HttpHostList"],
        "_http_client": ["HttpClient", "HttpClientLimits", "Replied"],
        "_reply_reader": ["ClientResponse"],
        "_links": ["Links"],
        "_log_http": ["HttpLog", "LogTimeouts"],
        "_queues": ["Inbox", "Outbox"],
        "_upstream_http": ["HttpUpstreamClient", "UpstreamTimeouts"],
        "_web": ["Call", "WebServer", "WebService"],
    },
)
