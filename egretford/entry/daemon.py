"""The daemon of an entry: joins listeners, feeds and controllers, and answers signals."""

from __future__ import annotations

import random
from typing import Any

from egretford.clock import Clock
from egretford.entry.crashes import SharedCrashes
from egretford.entry.forwarding import Forwarder
from egretford.entry.gateway import Gateway
from egretford.entry.keepers import KeeperGroup
from egretford.entry.turns import Turns
from egretford.entry.workers import WorkerTable
from egretford.http.limits import RequestLimits
from egretford.http.messages import Headers, HttpRequest
from egretford.http.server import HttpServer, Responder
from egretford.instance import InstanceSettings
from egretford.keeper.messages import KeeperReply, KeeperRequest
from egretford.logs import make_logger
from egretford.metrics import Metrics
from egretford.peer.streams import StreamPeerClient
from egretford.platform.agreements import StoredView
from egretford.platform.feeds import StoreHealth, build_configuration_feed, build_worker_feed
from egretford.platform.store import MetadataStore
from egretford.policy.placement import Placement

# Readiness is asked once a second and two misses take an instance out of rotation, so new
# connections may still come for this long after it stopped being ready.
LINGER_SECONDS = 3.0
# What is left of the grace period for closing sockets and writing the last log lines.
EXIT_RESERVE_SECONDS = 0.7
POLL_SECONDS = 0.05
ENGINE_PREFILL_TOKENS_PER_SECOND = 247_000.0


class EntryDaemon:
    """One entry process."""

    def __init__(
        self, settings: InstanceSettings, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = self._make_logger("entry")
        self._store = MetadataStore(settings.store_address, clock)
        self._health = StoreHealth(clock, self._make_logger("store"))
        self.workers = WorkerTable(clock, self._health, self._make_logger("workers"))
        self._peers = StreamPeerClient(KeeperRequest, KeeperReply)
        self._keepers = KeeperGroup(
            self._peers,
            StoredView(self._store).read,
            settings.tolerated_losses,
            settings.failure_domain,
            settings.regions,
            clock,
            self._make_logger("keepers"),
        )
        self._turns = Turns(self._keepers, clock, self._make_logger("turns"))
        self._crashes = SharedCrashes(self._keepers, clock, self._make_logger("crashes"))
        placement = Placement(
            settings.regions, prefill_tokens_per_second=ENGINE_PREFILL_TOKENS_PER_SECOND
        )
        forwarder = Forwarder(
            self.workers, placement, settings.region, clock, self._make_logger("forwarding")
        )
        self.gateway = Gateway(
            self.workers,
            forwarder,
            self._turns,
            self._crashes,
            metrics,
            clock,
            rng,
            self._make_logger("gateway"),
        )
        limits = RequestLimits()
        self._callers = HttpServer(self.gateway.handle, limits, clock, self._make_logger("callers"))
        self._readiness = HttpServer(
            self._answer_readiness, limits, clock, self._make_logger("readiness")
        )
        self.gateway.attach(self._callers)
        feed_log = self._make_logger("feeds")
        self._feeds = [
            build_configuration_feed(
                self._store, self.gateway.learn_configuration, self._health, clock, feed_log
            ),
            build_worker_feed(self._store, self.workers, self._health, clock, feed_log),
        ]
        self._leaving = False
        self._was_ready = False

    def _make_logger(self, part: str) -> Any:
        return make_logger(part, instance=self._settings.name)

    @property
    def is_ready(self) -> bool:
        """Whether new callers may be sent here."""
        knows_routes = self.gateway.configuration_version is not None
        knows_workers = self.workers.listed_at is not None
        knows_keepers = self._keepers.is_complete
        return knows_routes and knows_workers and knows_keepers and not self._leaving

    async def start(self) -> None:
        """Listen and follow the store."""
        settings = self._settings
        await self._callers.start(settings.callers_address)
        await self._readiness.start(settings.readiness_address)
        for feed in self._feeds:
            await feed.start()
        await self._keepers.start()
        await self._crashes.start()
        self._log.info("started", domain=settings.failure_domain, first=settings.first_start)

    def reload(self, settings: InstanceSettings) -> None:
        """Take changed bounds; addresses stay as they were at the start."""
        self._settings = settings

    async def drain(self) -> None:
        """Stop being ready, then serve until nothing is left or the grace period ends."""
        clock, grace = self._clock, self._settings.bounds.stop_grace
        began = clock.monotonic()
        self._leaving = True
        self._callers.draining = True
        self._log.info("stopping: not ready any more", active=self._callers.active)
        await clock.sleep(min(LINGER_SECONDS, grace / 2))
        while clock.monotonic() - began < grace - EXIT_RESERVE_SECONDS:
            self._callers.close_idle()
            if not self._callers.connections:
                break
            await clock.sleep(POLL_SECONDS)
        self._log.info(
            "stopped", after_s=round(clock.monotonic() - began, 2), cut=self._callers.active
        )

    async def close(self) -> None:
        """Stop everything."""
        for feed in self._feeds:
            await feed.close()
        await self._callers.close()
        await self._readiness.close()
        self.workers.close()
        await self._crashes.close()
        await self._keepers.close()
        await self._peers.close()
        await self._store.close()

    async def _answer_readiness(self, http: HttpRequest, responder: Responder) -> None:
        ready = self.is_ready
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.info("readiness changed", ready=ready)
        responder.send_whole(200 if ready else 503, Headers(), b"")
