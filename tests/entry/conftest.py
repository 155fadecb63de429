"""Groups of keepers that are closed after their test."""

from __future__ import annotations

import pytest

from egretford.clock import SystemClock
from egretford.entry.keepers import KeeperGroup
from tests.entry.fakes import VIEW, FakePeers
from tests.platform.standins import NullLog


@pytest.fixture
async def make_group():
    groups = []

    def make(**answers):
        async def read_view():
            return VIEW, 1

        peers = FakePeers(answers)
        group = KeeperGroup(peers, read_view, 1, "z", {"z": "r"}, SystemClock(), NullLog())
        group.learn_view(VIEW)
        groups.append(group)
        return group, peers

    yield make
    for group in groups:
        await group.close()
