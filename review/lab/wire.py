"""MessagePack and HTTP/1.1 for the stand-ins, on asyncio and the standard library only."""
import asyncio
import struct


def pack(v, out=None):
    top = out is None
    out = bytearray() if top else out
    if v is None:
        out.append(0xC0)
    elif v is True or v is False:
        out.append(0xC3 if v else 0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif v >= 0:
            out += b"\xcf" + struct.pack(">Q", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xA0 | len(b))
        elif len(b) < 256:
            out += b"\xd9" + struct.pack(">B", len(b))
        elif len(b) < 65536:
            out += b"\xda" + struct.pack(">H", len(b))
        else:
            out += b"\xdb" + struct.pack(">I", len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        else:
            out += b"\xdd" + struct.pack(">I", len(v))
        for x in v:
            pack(x, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out += b"\xdf" + struct.pack(">I", len(v))
        for k, x in v.items():
            pack(k, out)
            pack(x, out)
    else:
        raise TypeError(type(v))
    return bytes(out) if top else None


def unpack(b):
    v, at = _un(b, 0)
    if at != len(b):
        raise ValueError("trailing bytes")
    return v


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q", 0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}


def _un(b, i):
    t = b[i]
    i += 1
    if t < 0x80:
        return t, i
    if t >= 0xE0:
        return t - 256, i
    if t < 0x90:
        return _map(b, i, t & 15)
    if t < 0xA0:
        return _list(b, i, t & 15)
    if t < 0xC0:
        n = t & 31
        return b[i:i + n].decode(), i + n
    if t == 0xC0:
        return None, i
    if t in (0xC2, 0xC3):
        return t == 0xC3, i
    if t in _FIXED:
        f = _FIXED[t]
        n = struct.calcsize(f)
        return struct.unpack_from(f, b, i)[0], i + n
    if t in (0xD9, 0xDA, 0xDB):
        f = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}[t]
        n = struct.unpack_from(f, b, i)[0]
        i += struct.calcsize(f)
        return b[i:i + n].decode(), i + n
    if t in (0xDC, 0xDD):
        f = ">H" if t == 0xDC else ">I"
        n = struct.unpack_from(f, b, i)[0]
        return _list(b, i + struct.calcsize(f), n)
    if t in (0xDE, 0xDF):
        f = ">H" if t == 0xDE else ">I"
        n = struct.unpack_from(f, b, i)[0]
        return _map(b, i + struct.calcsize(f), n)
    raise ValueError("type %x" % t)


def _list(b, i, n):
    out = []
    for _ in range(n):
        v, i = _un(b, i)
        out.append(v)
    return out, i


def _map(b, i, n):
    out = {}
    for _ in range(n):
        k, i = _un(b, i)
        v, i = _un(b, i)
        out[k] = v
    return out, i


REASON = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one HTTP message; returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", "0"))
    body = await reader.readexactly(n) if n else b""
    return lines[0], headers, body


async def serve(handler, host="127.0.0.1", port=0):
    """Serves `handler(method, path, query, body) -> (status, value)`; None as the answer hangs up."""
    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                value = unpack(body) if body else None
                answer = await handler(method, path, q, value)
                if answer is None:
                    break
                status, data = answer
                out = pack(data)
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n" % (status, REASON.get(status, "Unknown"), len(out))).encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(on_connection, host, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """One connection of a client, kept open and opened again when it has failed."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, target, value=None, timeout=2.0):
        """Returns the status and the decoded body, or (None, reason)."""
        try:
            return await asyncio.wait_for(self._call(method, target, value), timeout)
        except (asyncio.TimeoutError, TimeoutError):
            self.close()
            return None, "no response"
        except (OSError, asyncio.IncompleteReadError, ValueError) as e:
            self.close()
            return None, type(e).__name__

    async def _call(self, method, target, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = pack(value) if value is not None else b""
        self.writer.write(("%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n" % (method, target, self.port, len(body))).encode() + body)
        await self.writer.drain()
        first, headers, body = await read_message(self.reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        data = unpack(body) if body else None
        if isinstance(data, dict) and "retry-after" in headers:
            data["_retry_after"] = float(headers["retry-after"])
        return status, data
