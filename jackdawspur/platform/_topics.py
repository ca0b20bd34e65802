"""Following one keyed topic of the platform's store."""

import struct
from collections.abc import Callable
from urllib.parse import quote

import msgspec
from result import Result

from jackdawspur.adapters import ClientResponse, HttpClient, TimerQueue
from jackdawspur.exceptions import JackdawspurError
from jackdawspur.external import PlatformError
from jackdawspur.platform._bodies import NewestPage

__all__ = ["KeyedTopic", "UnreadableRecords"]

# A long read is answered after this at the latest. One without an answer shows a
# channel that went silent: with `ANSWER_S` that is known within the 3 s in which a host
# counts as disturbed after such a loss, and half as many calls are made as with 1 s.
WAIT_MS = 2000
ANSWER_S = 0.6
AGAIN_S = 0.15
MS_PER_S = 1000.0
GONE = 410

Changed = Callable[[dict[str, bytes], bool], None]

_decode_page = msgspec.json.Decoder(NewestPage).decode


class UnreadableRecords(JackdawspurError):
    """Raise when the store's bytes are no records."""


class KeyedTopic:
    """Read the newest record of each key, then each change of them.

    `changed` gets values by key, an empty one for a key that was dropped, and whether
    these are all keys. `pause_s` tells how long to wait before the next read.
    """

    def __init__(
        self,
        topic: str,
        client: HttpClient,
        timer_queue: TimerQueue,
        changed: Changed,
        reached: Callable[[bool, str], None],
        pause_s: Callable[[], float],
    ) -> None:
        self._topic = topic
        self._client = client
        self._timer_queue = timer_queue
        self._changed = changed
        self._reached = reached
        self._pause_s = pause_s
        self._offset: int | None = None
        self._page: dict[str, bytes] = {}
        self._page_end = 0

    def begin(self) -> None:
        """Read all keys, then follow."""
        self._offset = None
        self._page = {}
        self._page_end = 0
        self._read_page(None)

    def _read_page(self, after: str | None) -> None:
        path = f"/log-newest?topic={self._topic}&part=0"
        if after is not None:
            path += f"&after={quote(after)}"
        self._client.request("GET", path, b"", ANSWER_S, self._page_read)

    def _page_read(self, result: Result[ClientResponse, PlatformError]) -> None:
        if not self._answered(result):
            self._timer_queue.call_later(AGAIN_S, self.begin)
            return
        try:
            page = _decode_page(result.ok_value.body)
        except msgspec.DecodeError as error:
            self._reached(False, f"{self._topic}: {error}")
            self._timer_queue.call_later(AGAIN_S, self.begin)
            return
        # Pages are no snapshot: what changes meanwhile is read after the first's end.
        self._page_end = self._page_end or page.end
        self._page.update({item.key: item.value for item in page.items})
        if page.more and page.items:
            self._read_page(page.items[-1].key)
            return
        self._offset = self._page_end
        self._changed(self._page, True)
        self._read_on()

    def _read_on(self) -> None:
        path = (
            f"/log-read?topic={self._topic}&part=0"
            f"&from={self._offset}&wait_ms={WAIT_MS}"
        )
        limit_s = WAIT_MS / MS_PER_S + ANSWER_S
        self._client.request("GET", path, b"", limit_s, self._records_read)

    def _records_read(self, result: Result[ClientResponse, PlatformError]) -> None:
        if result.is_ok() and result.ok_value.status == GONE:
            self.begin()
            return
        if not self._answered(result):
            self._timer_queue.call_later(AGAIN_S, self._read_on)
            return
        try:
            changed, read = _records(result.ok_value.body)
        except UnreadableRecords as error:
            self._reached(False, f"{self._topic}: {error}")
            self._timer_queue.call_later(AGAIN_S, self.begin)
            return
        self._offset += read
        self._changed(changed, False)
        self._timer_queue.call_later(self._pause_s(), self._read_on)

    def _answered(self, result: Result[ClientResponse, PlatformError]) -> bool:
        if result.is_err():
            self._reached(False, f"{self._topic}: {result.err_value}")
            return False
        status = result.ok_value.status
        self._reached(status == 200, f"{self._topic}: status {status}")
        return status == 200


def _records(data: bytes) -> tuple[dict[str, bytes], int]:
    """Return the newest value by key and the number of records; raise on nonsense.

    The first 16 bytes are the end and the first offset kept; each record is a length
    of four bytes, the length of its key in one, the key and the value.
    """
    if len(data) < 16:
        raise UnreadableRecords("shorter than its head")
    changed: dict[str, bytes] = {}
    at, count = 16, 0
    while at < len(data):
        if at + 5 > len(data):
            raise UnreadableRecords("a record's head is cut off")
        (length,) = struct.unpack_from(">I", data, at)
        record = data[at + 4 : at + 4 + length]
        if len(record) < length or length < 1 or record[0] + 1 > length:
            raise UnreadableRecords("a record is cut off")
        key = record[1 : 1 + record[0]].decode(errors="replace")
        changed.pop(key, None)
        changed[key] = record[1 + record[0] :]
        at += 4 + length
        count += 1
    return changed, count
