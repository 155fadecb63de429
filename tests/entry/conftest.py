"""Fixture that builds keeper clients and closes them after the test."""

from __future__ import annotations

import pytest

from egretford.clock import SystemClock
from egretford.entry.keepers import KeeperClient
from tests.entry.fakes import VIEW, FakePeers
from tests.platform.standins import NullLog


@pytest.fixture
async def make_client():
    clients = []

    def make(**answers):
        async def read_view():
            return VIEW, 1

        peers = FakePeers(answers)
        client = KeeperClient(peers, read_view, 1, "z", {"z": "r"}, SystemClock(), NullLog())
        client.update_view(VIEW)
        clients.append(client)
        return client, peers

    yield make
    for client in clients:
        await client.close()
