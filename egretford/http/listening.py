"""Listens on an address, and accepts few connections at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Connections accepted at once. Several such batches have descriptors before the first of them is
# known to its server, which may close it.
ACCEPT_BATCH = 16


async def start_listening(
    create: Callable[[], asyncio.BaseProtocol], address: str, backlog: int
) -> asyncio.Server:
    """Listen on `address` (IP:PORT) with a protocol for each connection; port 0 selects a free one.

    Up to `backlog` connections wait to be accepted.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=backlog)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(create, sock=sock, backlog=ACCEPT_BATCH)
    # asyncio listens with the size of its batch.
    sock.listen(backlog)
    return server
