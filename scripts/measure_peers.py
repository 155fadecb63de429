"""Measures round trips between instances over pynng and over plain TCP streams."""

from __future__ import annotations

import asyncio
import time

from egretford.keeper.messages import KeeperReply, KeeperRequest, Reserve, Reserved
from egretford.peer.sockets import PeerClient, PeerServer
from egretford.peer.streams import StreamPeerClient, StreamPeerServer
from egretford.policy.ledger import Charge

ROUNDS = 2_000
WARM_UP_ROUNDS = 100
PORT = 7391


class _NullLogger:
    def error(self, *_: object, **__: object) -> None:
        return


async def _answer(message: Reserve) -> Reserved:
    return Reserved((message.charge,) * 8, (), None)


async def measure(client_class: type, server_class: type, port: int) -> None:
    """Print the wall time and processor time of a round trip; both ends run in this process."""
    address = f"tcp://127.0.0.1:{port}"
    server = server_class(address, _answer, _NullLogger(), KeeperRequest, KeeperReply)
    client = client_class(KeeperRequest, KeeperReply)
    await server.start()
    message = Reserve(Charge("p" * 14, "r" * 16, 576), None, True, view=3)
    for _ in range(WARM_UP_ROUNDS):
        await client.ask(address, message, 1.0)
    wall_time, cpu_time = time.perf_counter(), time.process_time()
    for _ in range(ROUNDS):
        await client.ask(address, message, 1.0)
    wall_time, cpu_time = time.perf_counter() - wall_time, time.process_time() - cpu_time
    print(
        f"{client_class.__name__}: {wall_time / ROUNDS * 1e6:.0f} us a round trip,"
        f" {cpu_time / ROUNDS * 1e6:.0f} us of processor time"
    )
    await client.close()
    await server.close()


async def main() -> None:
    """Measure both transports."""
    await measure(PeerClient, PeerServer, PORT)
    await measure(StreamPeerClient, StreamPeerServer, PORT + 1)


if __name__ == "__main__":
    asyncio.run(main())
