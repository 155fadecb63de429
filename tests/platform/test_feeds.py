"""Feeds from the store: changes are detected in time even if a pending watch was lost."""

from __future__ import annotations

import asyncio

import pytest

from egretford.clock import SystemClock
from egretford.platform.feeds import ObjectFeed, StoreHealth, build_configuration_feed
from egretford.platform.store import MetadataStore
from tests.platform.deployment import make_configuration
from tests.platform.standins import NullLog, StoreStandin


@pytest.fixture
async def store():
    standin = StoreStandin()
    await standin.start()
    standin.put("config", "main", make_configuration(version=1))
    yield standin
    await standin.close()


async def start_feed(standin, versions):
    clock = SystemClock()
    client = MetadataStore(standin.address, clock, NullLog())
    health = StoreHealth(clock, NullLog())
    feed = build_configuration_feed(
        client, lambda table: versions.append(table.version), health, clock, NullLog()
    )
    await feed.start()
    return client, feed


async def wait_for(condition, seconds):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_watch_that_went_silent_in_an_outage_is_not_waited_for(store):
    versions = []
    client, feed = await start_feed(store, versions)
    await wait_for(lambda: versions == [1], 1.0)
    store.down = True
    store.compact()
    store.put("config", "main", make_configuration(version=2))
    await asyncio.sleep(0.4)
    # The store accepts the next watch but drops it while it recovers.
    store.down, store.silent_watches = False, 1
    await wait_for(lambda: store.silent_watches == 0, 1.0)
    store.put("config", "main", make_configuration(version=3))
    await wait_for(lambda: 3 in versions, 2.5)
    await feed.close()
    await client.close()


async def test_lost_history_is_listed_again(store):
    versions = []
    client, feed = await start_feed(store, versions)
    await wait_for(lambda: versions == [1], 1.0)
    store.put("other", "x", 1)
    store.compact()
    store.put("config", "main", make_configuration(version=4))
    await wait_for(lambda: 4 in versions, 2.5)
    await feed.close()
    await client.close()


async def test_a_listing_goes_through_all_pages(store):
    for number in range(120):
        store.put("things", f"n{number:03d}", number)
    client = MetadataStore(store.address, SystemClock(), NullLog())
    listing = await client.list_all("things")
    assert len(listing.objects) == 120
    await client.close()


async def test_the_store_counts_as_recovered_before_its_first_listing_is_taken(store):
    """Handlers must see the recovery first: a listing after an outage may lack live workers."""
    clock = SystemClock()
    client = MetadataStore(store.address, clock, NullLog())
    health = StoreHealth(clock, NullLog())
    recovery_times = []

    class Handler:
        def replace_all(self, listing):
            recovery_times.append(health.recovered_at)

        def apply_change(self, item, removed):
            recovery_times.append(health.recovered_at)

    store.down = True
    feed = ObjectFeed(client, "config", Handler(), health, clock, NullLog())
    await feed.start()
    await asyncio.sleep(0.2)
    store.down = False
    await wait_for(lambda: recovery_times, 2.0)
    await feed.close()
    await client.close()
    assert recovery_times[0] is not None
