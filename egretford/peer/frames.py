"""Connections that carry frames: a request or a reply each, with the number of the request.

A frame is a length (4 bytes, big-endian) and a MessagePack array of a request number and an
encoded message; a reply carries the number of its request.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgpack

from egretford.errors import EgretfordError
from egretford.http.client import set_socket_options

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16_000_000
# Requests of one connection that are handled at once, and their bytes, above which the server reads
# no further ones.
MAX_PENDING_REQUESTS = 1_024
MAX_PENDING_BYTES = 16_000_000


class FrameError(EgretfordError):
    """A peer sent bytes that are no frame."""


class FrameProtocol(asyncio.Protocol):
    """Splits the received bytes into frames, and writes frames to the connection."""

    def __init__(self, on_frame: Callable[[FrameProtocol, int, bytes], None], log: Any) -> None:
        self._on_frame = on_frame
        self._log = log
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.on_disconnect: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set the socket options."""
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; an oversized or malformed one closes the connection."""
        buffer = self._buffer
        buffer += data
        while len(buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer)
            if size > MAX_FRAME_BYTES:
                self.reject(f"a frame of {size} bytes")
                return
            if len(buffer) < LENGTH.size + size:
                return
            try:
                with memoryview(buffer) as view, view[LENGTH.size : LENGTH.size + size] as frame:
                    number, payload = _decode_frame(frame)
            except FrameError as error:
                self.reject(str(error))
                return
            del buffer[: LENGTH.size + size]
            self._on_frame(self, number, payload)
            if self.closed:
                return

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection closed and call `on_disconnect`."""
        self.closed = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    def send(self, number: int, payload: bytes) -> None:
        """Write one frame; `payload` is an encoded message."""
        frame = msgpack.packb((number, payload))
        self.transport.write(LENGTH.pack(len(frame)) + frame)

    def reject(self, reason: str) -> None:
        """Close the connection because of what the peer sent on it."""
        if not self.closed:
            peer = (self.transport.get_extra_info("peername") or ("",))[0]
            self._log.warning("closed a connection to a peer", peer=peer, reason=reason)
        self.close()

    def close(self) -> None:
        """Abort the connection, discarding unsent data."""
        if self.transport is not None and not self.closed:
            self.closed = True
            self._buffer.clear()
            self.transport.abort()


def _decode_frame(frame: memoryview) -> tuple[int, bytes]:
    """Return the number and the encoded message in a frame; raises FrameError."""
    try:
        # Without these limits, a frame of empty arrays takes 64 times its size.
        number, payload = msgpack.unpackb(frame, max_array_len=2, max_map_len=0)
    except (ValueError, TypeError) as error:
        raise FrameError(f"a malformed frame: {type(error).__name__}") from None
    if type(number) is not int or type(payload) is not bytes:
        raise FrameError("a frame without a number and a message")
    return number, payload


class ServedConnection(FrameProtocol):
    """A connection of the server; it is not read while too much is pending on it.

    Too much are MAX_PENDING_REQUESTS, MAX_PENDING_BYTES, or replies that the peer does not read.
    """

    def __init__(self, on_frame: Callable[[FrameProtocol, int, bytes], None], log: Any) -> None:
        super().__init__(on_frame, log)
        self._requests = 0
        self._bytes = 0
        self._write_paused = False

    def pause_writing(self) -> None:
        """Read no requests until replies have been read."""
        self._write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        self._write_paused = False
        self._update_reading()

    @contextmanager
    def count_pending(self, size: int) -> Iterator[None]:
        """Count a request of `size` bytes as pending."""
        self._requests += 1
        self._bytes += size
        self._update_reading()
        try:
            yield
        finally:
            self._requests -= 1
            self._bytes -= size
            self._update_reading()

    def _update_reading(self) -> None:
        if self.closed:
            return
        if (
            self._write_paused
            or self._requests >= MAX_PENDING_REQUESTS
            or self._bytes >= MAX_PENDING_BYTES
        ):
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
