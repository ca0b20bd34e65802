"""Small HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import json


class Request:
    """One request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(p.partition("=")[::2] for p in query.split("&") if p)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class Silence(Exception):
    """Raised by a handler: no answer is sent, and the channel stays open."""


class Reset(Exception):
    """Raised by a handler: the channel is closed without an answer."""


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves one address; `handle` returns (status, headers, body bytes)."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    async def stop(self):
        """Stop to listen and reset all channels, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(method, target, headers, body)
                try:
                    status, extra, data = await self._handle(request)
                except Silence:
                    continue
                except Reset:
                    break
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}"]
                lines += [f"{k}: {v}" for k, v in extra.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
            OSError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def reply(body, status=200):
    return status, {"Content-Type": "application/json"}, json.dumps(body).encode()


async def call(address, method, path, body=None, headers=None, timeout=10.0):
    """Send one request on a new channel; return (status, body), status 0 if broken."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            lines += [
                f"{k}: {v}" for k, v in ({"Host": address} | (headers or {})).items()
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            while True:
                first, got = await _read_head(reader)
                status = int(first.split(" ", 2)[1])
                if status >= 200:
                    break
            text = await reader.readexactly(int(got.get("content-length", 0)))
            try:
                return status, json.loads(text or b"{}")
            except ValueError:
                return status, {}
    except TimeoutError:
        return 0, {"error": "no answer in time"}
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {"error": type(error).__name__}
    finally:
        if writer is not None:
            writer.transport.abort()
