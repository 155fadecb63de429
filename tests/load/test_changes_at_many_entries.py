"""A changed configuration reaches all entries of a domain in time, by few calls to the store."""

from __future__ import annotations

import asyncio

import pytest

from tests.faults.virtual import run_virtual
from tests.load.relay_world import KIND, World

# Times within which a configuration must be in force at every entry and a leaving worker be known,
# at deployments of 3 and of 171 entries, in seconds.
LIMITS = [2.5, 4.0]


def play(scenario, relays: int = 4, entries: int = 12, limit: float = LIMITS[0]) -> World:
    async def run() -> World:
        world = World(limit)
        await world.start(relays, entries)
        await scenario(world)
        for entry in world.entries:
            revisions = [revision for _, revision in entry.seen]
            assert revisions == sorted(revisions), "an entry went back to an older revision"
        return world

    return run_virtual(run())


# Guards against calls to the store, and copies over the link between regions, that grow with the
# number of entries.
def test_calls_to_the_store_do_not_grow_with_the_entries():
    async def change_now_and_then(world):
        began = len(world.store.calls)
        for _ in range(5):
            await asyncio.sleep(4.0)
            await world.wait_for(world.store.put("main", 1), 0.5)
        world.store.calls = world.store.calls[began:]

    calls = [len(play(change_now_and_then, 4, n).store.calls) for n in (10, 100)]
    assert calls[0] == calls[1]
    # Two relays, each with a watch in 1.25 s and two calls a change.
    assert calls[1] <= 2 * (20 / 1.25 + 2 * 5 + 2)


def test_all_entries_that_start_at_once_list_through_few_relays():
    world = play(lambda world: asyncio.sleep(0.0), 4, 100)
    assert {name for name in world.store.calls if name.startswith("e")} == set()
    assert all(entry.seen for entry in world.entries)


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("victims", [["k0"], ["k1"], ["k0", "k1"], ["k0", "k1", "k2", "k3"]])
@pytest.mark.parametrize(
    "fault", ["dead", "frozen", "cut from the store", "cut from the entries", "earlier version"]
)
def test_a_change_is_in_force_in_time_although_relays_fail(fault, victims, limit):
    async def scenario(world):
        await asyncio.sleep(0.37)
        for name in victims:
            match fault:
                case "dead":
                    await world.kill_relay(name)
                case "frozen":
                    world.frozen.add(name)
                case "cut from the store":
                    world.store.cut.add(name)
                case "earlier version":
                    world.outdated.add(name)
                case "cut from the entries":
                    world.cuts |= {(entry.name, name) for entry in world.entries}
        await world.wait_for(world.store.put("main", 1), limit)
        await asyncio.sleep(3.0)
        await world.wait_for(world.store.put("main", 2), limit)

    play(scenario, limit=limit)


def test_an_entry_that_is_cut_off_from_the_store_follows_the_relays():
    async def scenario(world):
        world.store.cut |= {entry.name for entry in world.entries}
        await world.wait_for(world.store.put("main", 1), 1.0)
        await world.kill_relay("k0")
        await world.wait_for(world.store.put("main", 2), LIMITS[0])

    play(scenario)


# Guards against an entry that can reach neither the store nor a second relay, and follows none.
def test_the_last_relay_is_followed_if_the_store_is_out_of_reach():
    async def scenario(world):
        world.store.cut |= {entry.name for entry in world.entries}
        for name in ("k0", "k2", "k3"):
            await world.kill_relay(name)
        await asyncio.sleep(6.0)
        await world.wait_for(world.store.put("main", 1), LIMITS[0])

    play(scenario)


def test_a_domain_alone_keeps_what_it_knows_and_catches_up():
    async def scenario(world):
        everyone = {*world.relays, *(entry.name for entry in world.entries)}
        known = world.entries[0].revision
        world.store.cut |= everyone
        revision = world.store.put("main", 1)
        await asyncio.sleep(8.0)
        assert {entry.revision for entry in world.entries} == {known}
        world.store.cut -= everyone
        await world.wait_for(revision, LIMITS[0])

    play(scenario)


def test_relays_that_restart_one_after_the_other_delay_no_change():
    async def scenario(world):
        for name in list(world.relays):
            await world.kill_relay(name)
            await world.wait_for(world.store.put("main", 1), LIMITS[0])
            await world.start_relay(name)
            await world.wait_for(world.store.put("main", 2), LIMITS[0])

    play(scenario)


def test_removed_objects_are_relayed_also_to_an_entry_that_is_behind():
    async def scenario(world):
        world.store.put("gone", 1)
        await asyncio.sleep(1.0)
        world.store.remove("gone")
        await asyncio.sleep(1.0)
        assert all(entry.removed == ["gone"] for entry in world.entries)

    play(scenario)


def test_the_objects_are_read_no_more_once_no_entry_asks():
    async def scenario(world):
        for entry in world.entries:
            await entry.feed.close()
        await asyncio.sleep(15.0)
        world.store.calls.clear()
        await asyncio.sleep(10.0)
        assert not world.store.calls

    play(scenario)


# Guards against a worker that has left, and is in use again after an entry has restarted: the relay
# from which it lists was cut off from the store before the worker left.
def test_an_entry_that_starts_lists_nothing_from_a_relay_with_an_old_copy():
    async def scenario(world):
        world.store.put("left", 1)
        await asyncio.sleep(1.0)
        world.store.cut |= {"k0", "k1"}
        world.store.remove("left")
        await asyncio.sleep(LIMITS[0])
        entry = await world.start_entry("late")
        await asyncio.sleep(3.0)
        assert entry.seen and "left" not in entry.listed

    play(scenario)


# Guards against a worker that has left, and is in use again as an entry lists anew from a relay
# that is behind what the entry knew.
def test_a_listing_never_goes_back_behind_what_is_known():
    async def scenario(world):
        world.store.put("left", 1)
        await asyncio.sleep(1.0)
        world.store.cut |= {"k0", "k1", "k2"}
        world.store.remove("left")
        source = world.entries[0].feed._store
        known = await source._store.list_all(KIND)
        source._newest[KIND] = known.revision
        listing = await source.list_all(KIND)
        assert listing.revision >= known.revision and "left" not in listing.objects

    play(scenario)


# Guards against a configuration that is not in force in time (CONFIG): an entry whose relays do not
# answer watches the store itself, whose watches may hear nothing before they end.
@pytest.mark.parametrize("limit", LIMITS)
def test_a_change_is_in_force_in_time_although_watches_of_the_store_hear_nothing(limit):
    async def scenario(world):
        world.outdated |= set(world.relays)
        world.store.deaf_until = world.now + 2.0
        await asyncio.sleep(0.1)
        await world.wait_for(world.store.put("main", 1), limit)

    play(scenario, limit=limit)
