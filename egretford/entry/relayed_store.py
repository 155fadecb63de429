"""Reads stored objects through keepers of the own region, or else from the store itself."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import orjson
from attrs import define

from egretford.clock import Clock
from egretford.errors import EgretfordError
from egretford.keeper.messages import KeeperReply, RelayedChanges, RelayedObject, WatchObjects
from egretford.peer.interface import Peers
from egretford.platform.feeds import ObjectSource, StoreHealth
from egretford.platform.store import (
    HistoryGoneError,
    Listing,
    ObjectChange,
    StoreObject,
    WatchAnswer,
)
from egretford.policy.views import Member

# Relays that an entry follows at a time. The second one only says that there are changes, so that
# one that is frozen or cut off from the store delays none.
RELAYS = 2
# Wait of one watch at a relay; bounds how late a silent relay is detected.
RELAY_WATCH_SECONDS = 1.5
# How much longer than its wait a reply may take, with a listing of about 1 MB.
REPLY_GRACE_SECONDS = 1.0
LISTING_WAIT_SECONDS = 2.0
# How much longer than the wait of its watches a relay that is followed may not have heard from the
# store: a watch of a silent store is given up within this time.
MAX_EXTRA_AGE_SECONDS = 1.2
# Lead of the first relay over the second one when both have changes.
LEAD_SECONDS = 0.2
# Seconds for which a relay that failed is not asked again.
UNAVAILABLE_SECONDS = 3.0
# Longest time to wait at the first listing for the view, which names the relays.
VIEW_WAIT_SECONDS = 0.7
VIEW_POLL_SECONDS = 0.05
# Range of the random delay before a listing from the store itself when no relay answered.
DIRECT_LISTING_SPREAD_SECONDS = 0.5


class RelayError(EgretfordError):
    """A relay has no current copy of the objects."""


@define
class _Watch:
    """A watch at one relay, or at the store if `relay` is None."""

    relay: Member | None
    with_contents: bool


class RelayedStore:
    """An ObjectSource that spares the store: it asks relays, and the store if too few answer.

    `list_relays` returns the keepers that may be asked, nearest first and in the same order at all
    entries of a failure domain, and None while no view is known. `watch_seconds` is the wait of
    their watches.
    """

    def __init__(
        self,
        store: ObjectSource,
        peers: Peers,
        list_relays: Callable[[], list[Member] | None],
        watch_seconds: float,
        health: StoreHealth,
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        self._watch_seconds = watch_seconds
        self._store = store
        self._peers = peers
        self._list_relays = list_relays
        self._health = health
        self._clock = clock
        self._rng = rng
        self._log = log
        self._unavailable_until: dict[str, float] = {}
        # Listings that relays sent in reply to a watch, for the next call of list_all.
        self._listings: dict[str, Listing] = {}
        # The newest revision that was returned, by kind.
        self._newest: dict[str, int] = {}

    # ObjectSource

    async def list_all(self, kind: str) -> Listing:
        """Return all objects of a kind, as of the newest revision returned before or a later one.

        Raises StoreUnavailableError.
        """
        listing = self._listings.pop(kind, None) or await self._read_listing(kind)
        self._newest[kind] = max(listing.revision, self._newest.get(kind, 0))
        return listing

    async def _read_listing(self, kind: str) -> Listing:
        await self._wait_for_view()
        relays = self._list_usable()
        for relay in relays:
            try:
                listing = _build_listing(await self._ask(relay, kind, None, LISTING_WAIT_SECONDS))
            except EgretfordError as error:
                self._record_failure(relay, error)
                continue
            if listing.revision >= self._newest.get(kind, 0):
                return listing
        if relays:
            await self._clock.sleep(self._rng.uniform(0.0, DIRECT_LISTING_SPREAD_SECONDS))
        return await self._store.list_all(kind)

    async def watch(self, kind: str, revision: int, seconds: float) -> WatchAnswer:
        """Wait up to `seconds` for changes after `revision`.

        Raises StoreUnavailableError, and HistoryGoneError if all objects must be listed again.
        """
        answer = await self._watch(kind, revision, seconds)
        self._newest[kind] = max(answer.revision, self._newest.get(kind, 0))
        return answer

    async def _watch(self, kind: str, revision: int, seconds: float) -> WatchAnswer:
        # A watch may hear nothing of a change before its end, at the store as at a relay.
        seconds = min(seconds, self._watch_seconds)
        relays = self._list_usable()
        if not relays:
            return await self._store.watch(kind, revision, seconds)
        watch_round = _WatchRound(self, kind, revision, seconds)
        for relay in relays[:RELAYS]:
            watch_round.follow(relay, with_contents=relay is relays[0])
        watch_round.spare = relays[RELAYS:]
        if len(relays) < RELAYS:
            # Too few are left to notice if one of them is behind.
            watch_round.follow_store()
        return await watch_round.run()

    async def _wait_for_view(self) -> None:
        deadline = self._clock.monotonic() + VIEW_WAIT_SECONDS
        while self._list_relays() is None and self._clock.monotonic() < deadline:
            await self._clock.sleep(VIEW_POLL_SECONDS)

    def _list_usable(self) -> list[Member]:
        """Return the relays that have not just failed; none if there are too few in all."""
        relays = self._list_relays() or []
        self._peers.keep_only({relay.address for relay in relays})
        if len(relays) < RELAYS:
            return []
        now, known = self._clock.monotonic(), self._unavailable_until
        self._unavailable_until = {r.disk: known[r.disk] for r in relays if r.disk in known}
        return [r for r in relays if self._unavailable_until.get(r.disk, 0.0) <= now]

    async def _ask(
        self,
        relay: Member,
        kind: str,
        revision: int | None,
        seconds: float,
        with_contents: bool = True,
    ) -> RelayedChanges:
        """Send a watch to a relay; raises RelayError if its copy is not current."""
        message = WatchObjects(kind, revision, seconds, with_contents)
        reply: KeeperReply = await self._peers.ask(
            relay.address, message, seconds + REPLY_GRACE_SECONDS
        )
        if not isinstance(reply, RelayedChanges):
            raise RelayError(getattr(reply, "reason", type(reply).__name__))
        if reply.age > self._watch_seconds + MAX_EXTRA_AGE_SECONDS:
            raise RelayError(f"the store last answered {reply.age:.1f} s ago")
        if reply.recovered is not None:
            self._health.adopt_recovery(self._clock.monotonic() - reply.recovered)
        return reply

    def _record_failure(self, relay: Member, error: Exception) -> None:
        now = self._clock.monotonic()
        if self._unavailable_until.get(relay.disk, 0.0) <= now:
            self._log.info("a relay is not followed", relay=relay.name, reason=str(error))
        self._unavailable_until[relay.disk] = now + UNAVAILABLE_SECONDS


class _WatchRound:
    """One watch of a RelayedStore, at several relays at once and at the store if need be."""

    def __init__(self, owner: RelayedStore, kind: str, revision: int, seconds: float) -> None:
        self._owner = owner
        self._kind = kind
        self._revision = revision
        self._seconds = seconds
        self._pending: dict[asyncio.Future[Any], _Watch] = {}
        self._failures = 0
        self.spare: list[Member] = []

    def follow(self, relay: Member, *, with_contents: bool, after: float = 0.0) -> None:
        """Start to watch at a relay, after some seconds."""
        self._start(self._ask(relay, with_contents, after), _Watch(relay, with_contents))

    def follow_store(self) -> None:
        """Start to watch at the store."""
        watch = self._owner._store.watch(self._kind, self._revision, self._seconds)
        self._start(watch, _Watch(None, with_contents=True))

    def _start(self, coroutine: Any, watch: _Watch) -> None:
        self._pending[asyncio.ensure_future(coroutine)] = watch

    async def _ask(self, relay: Member, with_contents: bool, after: float) -> RelayedChanges:
        if after:
            await self._owner._clock.sleep(after)
        seconds = min(self._seconds, RELAY_WATCH_SECONDS)
        return await self._owner._ask(relay, self._kind, self._revision, seconds, with_contents)

    async def run(self) -> WatchAnswer:
        """Return the first answer with contents; raises the store's error if nobody answers."""
        try:
            while True:
                done, _ = await asyncio.wait(self._pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    watch = self._pending.pop(task)
                    try:
                        result = task.result()
                    except EgretfordError as error:
                        self._replace(watch, error)
                        continue
                    if watch.relay is None:
                        return result
                    if watch.with_contents:
                        return self._build_answer(result)
                    if result.has_changes:
                        self.follow(watch.relay, with_contents=True, after=LEAD_SECONDS)
        finally:
            for task in self._pending:
                task.cancel()

    def _replace(self, failed: _Watch, error: EgretfordError) -> None:
        """Watch elsewhere after a watch failed, or raise the error if that was the last resort."""
        watches = list(self._pending.values())
        if failed.relay is None:
            others = [watch.relay for watch in watches if watch.relay is not None]
            if isinstance(error, HistoryGoneError) or not others:
                raise error
            if not any(watch.with_contents for watch in watches):
                self.follow(others[0], with_contents=True)
            return
        self._owner._record_failure(failed.relay, error)
        self._failures += 1
        follows_store = any(watch.relay is None for watch in watches)
        if self.spare:
            has_contents = any(watch.with_contents for watch in watches)
            self.follow(self.spare.pop(0), with_contents=not has_contents)
        if (not self.spare or self._failures >= RELAYS) and not follows_store:
            # Whatever silenced so many relays may have silenced the others too.
            self.follow_store()

    def _build_answer(self, reply: RelayedChanges) -> WatchAnswer:
        if reply.is_listing:
            self._owner._listings[self._kind] = _build_listing(reply)
            raise HistoryGoneError(f"no history of {self._kind} after {self._revision}")
        changes = [ObjectChange(_decode(item), item.removed) for item in reply.objects]
        return WatchAnswer(changes, max(self._revision, reply.revision))


def _build_listing(reply: RelayedChanges) -> Listing:
    return Listing({item.name: _decode(item) for item in reply.objects}, reply.revision)


def _decode(item: RelayedObject) -> StoreObject:
    return StoreObject(item.name, item.revision, orjson.loads(item.content), None)
