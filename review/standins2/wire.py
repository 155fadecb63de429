"""A small HTTP/1.1 reader and writer for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class BrokenError(Exception):
    """The connection ended or was reset inside a message."""


@dataclass
class Message:
    """The first line, fields (lower-case names) and body of a request or response."""

    line: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.line.split(" ")[1]

    def get(self, name: str, default: str = "") -> str:
        """Return a field, or `default`."""
        return self.fields.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("the head was cut off") from error
        return None
    except OSError as error:
        raise BrokenError(repr(error)) from error
    line, *rows = data.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for row in rows:
        name, _, value = row.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(line, fields)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a chunked body; raises BrokenError if it is cut off."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
            yield data
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenError(repr(error)) from error


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the rest of a message with a length or in chunks."""
    if "chunked" in message.get("transfer-encoding"):
        return b"".join([data async for data in read_chunks(reader)])
    size = int(message.get("content-length", "0"))
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise BrokenError(repr(error)) from error


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None if the connection ended before it."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def encode(line: str, fields: dict[str, str], body: bytes | None = b"") -> bytes:
    """Return a message; without a body (None) its length is not named."""
    rows = [line, *(f"{name}: {value}" for name, value in fields.items())]
    if body is not None:
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
