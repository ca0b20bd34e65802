"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import contextlib

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Request:
    """One request: method, path, query as a dictionary, headers and body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        pairs = (pair.partition("=") for pair in query.split("&") if pair)
        self.query = {name: value for name, _, value in pairs}
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def serve(address, handle):
    """Serve `handle(request) -> (status, body)`; a status of None sends no reply."""

    async def connection(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                method, target, _version = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length)
                status, reply = await handle(Request(method, target, head[1], body))
                if status is None:
                    await asyncio.sleep(3600)
                text = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                text += "Content-Type: application/json\r\n"
                text += f"Content-Length: {len(reply)}\r\n\r\n"
                writer.write(text.encode() + reply)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(connection, *address)


class Call:
    """A request on a channel of its own; the caller may close the channel early."""

    def __init__(self, address, method, path, headers, body=b""):
        self._address = address
        lines = [f"{method} {path} HTTP/1.1"]
        fields = {**headers, "Content-Length": str(len(body))}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self._data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self._writer = None

    async def run(self, timeout_s):
        """Send; return (status, body), or (None, reason) without an answer."""
        try:
            return await asyncio.wait_for(self._exchange(), timeout_s)
        except (asyncio.TimeoutError, TimeoutError):
            return None, "no answer in time"
        except OSError as error:
            return None, f"channel: {type(error).__name__}"
        finally:
            self.close()

    async def _exchange(self):
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._writer.write(self._data)
        head = await read_head(reader)
        if head is None:
            return None, "channel closed"
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1]), body.decode()

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
