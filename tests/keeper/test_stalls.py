"""A keeper that stood still."""

from __future__ import annotations

import asyncio
import time

from egretford.clock import SystemClock
from egretford.keeper.copying import Source
from egretford.keeper.stalls import StallWatch
from tests.platform.standins import NullLog
from tests.servers import stand_still


class FakeCopier:
    def __init__(self) -> None:
        self.sources = [Source(None, time.monotonic())]

    def extend_reply_time(self, seconds: float) -> None:
        for source in self.sources:
            source.last_reply_at += seconds


# Guards against sound keepers that are dropped from the view by one that stood still: their replies
# of that time have arrived, but are read later.
async def test_a_stall_does_not_count_as_silence_of_the_others():
    copier = FakeCopier()
    began = copier.sources[0].last_reply_at
    watch = StallWatch(copier, SystemClock(), NullLog())
    await watch.start()
    await asyncio.sleep(0.05)
    assert copier.sources[0].last_reply_at == began
    stand_still(1.2)
    await asyncio.sleep(0.05)
    await watch.close()
    assert 0.9 < copier.sources[0].last_reply_at - began < 1.4
