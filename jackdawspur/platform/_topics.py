"""A reader that follows a keyed topic of the platform's store."""

import re
import struct
from collections.abc import Callable
from urllib.parse import quote

import msgspec
from result import Result

from jackdawspur.adapters import ClientResponse, HttpClient, TimerQueue
from jackdawspur.exceptions import JackdawspurError
from jackdawspur.external import PlatformError
from jackdawspur.platform._bodies import NewestPage

__all__ = ["KeyedTopic", "RecordsDecodeError"]

# The store answers a long poll after at most this time. A missing reply means that
# the connection became unresponsive. With REPLY_TIMEOUT_S added that is detected within
# the 3 s for which a host may be disturbed by such a loss, and with half as many calls
# as a wait of 1 s would need.
LONG_POLL_WAIT_MS = 2000
REPLY_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.15
MS_PER_S = 1000.0
GONE = 410
SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")

OnChange = Callable[[dict[str, bytes], bool], None]

_decode_page = msgspec.json.Decoder(NewestPage).decode


class RecordsDecodeError(JackdawspurError):
    """Raised when bytes from the store can't be decoded as records."""


class KeyedTopic:
    """Reads the newest record of each key and then follows all changes.

    `on_change` gets the values by key, where an empty value means a deleted key, and a
    flag that is true if these are all keys. `on_reachability` gets a flag and the
    reason of a failure after each read. `pause_s` returns the seconds to wait before
    the next read.
    """

    def __init__(
        self,
        topic: str,
        client: HttpClient,
        timer_queue: TimerQueue,
        on_change: OnChange,
        on_reachability: Callable[[bool, str], None],
        pause_s: Callable[[], float],
    ) -> None:
        self._topic = topic
        self._client = client
        self._timer_queue = timer_queue
        self._on_change = on_change
        self._on_reachability = on_reachability
        self._pause_s = pause_s
        self._offset: int | None = None
        self._page: dict[str, bytes] = {}
        self._page_end = 0

    def start(self) -> None:
        """Read all keys, then follow changes."""
        self._offset = None
        self._page = {}
        self._page_end = 0
        self._read_page(None)

    def _read_page(self, after: str | None) -> None:
        path = f"/log-newest?topic={self._topic}&part=0"
        if after is not None:
            path += f"&after={quote(after)}"
        self._client.request("GET", path, b"", REPLY_TIMEOUT_S, self._on_page)

    def _on_page(self, result: Result[ClientResponse, PlatformError]) -> None:
        if not self._check_reply(result):
            self._timer_queue.call_later(RETRY_DELAY_S, self.start)
            return
        try:
            page = _decode_newest_page(result.ok_value.body)
        except RecordsDecodeError as error:
            self._on_reachability(False, f"{self._topic}: {error}")
            self._timer_queue.call_later(RETRY_DELAY_S, self.start)
            return
        # The pages may be of different times. Records written while they are read are
        # read again from the end offset of the first page on.
        self._page_end = self._page_end or page.end
        self._page.update({item.key: item.value for item in page.items})
        if page.more and page.items:
            self._read_page(page.items[-1].key)
            return
        self._offset = self._page_end
        try:
            self._on_change(self._page, True)
        finally:
            # An exception must not end the reading.
            self._follow()

    def _follow(self) -> None:
        path = (
            f"/log-read?topic={self._topic}&part=0"
            f"&from={self._offset}&wait_ms={LONG_POLL_WAIT_MS}"
        )
        timeout_s = LONG_POLL_WAIT_MS / MS_PER_S + REPLY_TIMEOUT_S
        self._client.request("GET", path, b"", timeout_s, self._on_records)

    def _on_records(self, result: Result[ClientResponse, PlatformError]) -> None:
        if result.is_ok() and result.ok_value.status == GONE:
            self.start()
            return
        if not self._check_reply(result):
            self._timer_queue.call_later(RETRY_DELAY_S, self._follow)
            return
        try:
            changed, record_count = _decode_records(result.ok_value.body)
        except RecordsDecodeError as error:
            self._on_reachability(False, f"{self._topic}: {error}")
            self._timer_queue.call_later(RETRY_DELAY_S, self.start)
            return
        self._offset += record_count
        try:
            self._on_change(changed, False)
        finally:
            self._timer_queue.call_later(self._pause_s(), self._follow)

    def _check_reply(self, result: Result[ClientResponse, PlatformError]) -> bool:
        if result.is_err():
            self._on_reachability(False, f"{self._topic}: {result.err_value}")
            return False
        status = result.ok_value.status
        self._on_reachability(status == 200, f"{self._topic}: status {status}")
        return status == 200


def _decode_newest_page(data: bytes) -> NewestPage:
    """Decode a page; raise `RecordsDecodeError` if it is malformed.

    Keys that aren't valid Unicode don't affect the others: they are replaced, as those
    of `_decode_records` are.
    """
    try:
        return _decode_page(data)
    except (msgspec.DecodeError, RecursionError):
        text = SURROGATE_ESCAPE.sub(r"\\ufffd", data.decode(errors="replace"))
    try:
        return _decode_page(text.encode())
    except (msgspec.DecodeError, RecursionError) as error:
        raise RecordsDecodeError(str(error)) from error


def _decode_records(data: bytes) -> tuple[dict[str, bytes], int]:
    """Return the newest value by key and the number of records.

    The first 16 bytes are the end offset and the first retained offset. Each record has
    its length in four bytes, the length of its key in one byte, the key and the value.
    Raise `RecordsDecodeError` if the data is malformed.
    """
    if len(data) < 16:
        raise RecordsDecodeError("shorter than the header")
    changed: dict[str, bytes] = {}
    position, count = 16, 0
    while position < len(data):
        if position + 5 > len(data):
            raise RecordsDecodeError("truncated record header")
        (length,) = struct.unpack_from(">I", data, position)
        record = data[position + 4 : position + 4 + length]
        if len(record) < length or length < 1 or record[0] + 1 > length:
            raise RecordsDecodeError("truncated record")
        key = record[1 : 1 + record[0]].decode(errors="replace")
        changed.pop(key, None)
        changed[key] = record[1 + record[0] :]
        position += 4 + length
        count += 1
    return changed, count
