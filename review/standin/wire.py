"""MessagePack and HTTP/1.1 for the stand-ins, with the standard library only."""

import asyncio
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 0x80:
            out.append(v)
        elif 0 <= v:
            out += b"\xcf" + struct.pack(">Q", v)
        elif v >= -32:
            out += struct.pack("b", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        data = v.encode()
        if len(data) < 32:
            out.append(0xA0 | len(data))
        else:
            out += b"\xdb" + struct.pack(">I", len(data))
        out += data
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        else:
            out += b"\xdd" + struct.pack(">I", len(v))
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out += b"\xdf" + struct.pack(">I", len(v))
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


_NUMBERS = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
            0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_LENGTHS = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}


def _unpack(d, i):
    b = d[i]
    i += 1
    if b < 0x80:
        return b, i
    if b >= 0xE0:
        return b - 256, i
    if b < 0x90:
        return _map(d, i, b & 15)
    if b < 0xA0:
        return _list(d, i, b & 15)
    if b < 0xC0:
        return d[i:i + (b & 31)].decode(), i + (b & 31)
    if b in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[b], i
    if b in _NUMBERS:
        size = struct.calcsize(_NUMBERS[b])
        return struct.unpack(_NUMBERS[b], d[i:i + size])[0], i + size
    size = struct.calcsize(_LENGTHS[b])
    length = struct.unpack(_LENGTHS[b], d[i:i + size])[0]
    i += size
    if b <= 0xDB:
        return d[i:i + length].decode(), i + length
    return _list(d, i, length) if b <= 0xDD else _map(d, i, length)


def _list(d, i, length):
    items = []
    for _ in range(length):
        item, i = _unpack(d, i)
        items.append(item)
    return items, i


def _map(d, i, length):
    result = {}
    for _ in range(length):
        key, i = _unpack(d, i)
        result[key], i = _unpack(d, i)
    return result, i


async def _read_message(reader):
    """Returns the first line, the headers and the body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(handler, port=0):
    """Serves `async handler(method, path, query, body) -> (status, value) or None` on loopback.

    None closes the connection without a response."""
    async def connection(reader, writer):
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                answer = await handler(method, path, query, message[2])
                if answer is None:
                    return
                status, value = answer
                body = pack(value)
                extra = "Retry-After: 1\r\n" if status in (429, 503) else ""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\n{extra}"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 24, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One user's or worker's connection, opened when it is needed and kept while it works."""

    def __init__(self, port):
        self.port = port
        self.stream = None

    def close(self):
        if self.stream:
            self.stream[1].close()
        self.stream = None

    async def request(self, method, path, value=None, timeout=5.0):
        """Returns (status, headers, value); (None, {}, reason) without a usable response."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.CancelledError, ValueError, EOFError) as error:
            self.close()
            if isinstance(error, asyncio.CancelledError):
                raise
            return None, {}, type(error).__name__

    async def _exchange(self, method, path, value):
        if self.stream is None:
            self.stream = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)
        reader, writer = self.stream
        body = b"" if value is None else pack(value)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
                     f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        message = await _read_message(reader)
        if message is None:
            raise EOFError
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], unpack(message[2]) if message[2] else None
