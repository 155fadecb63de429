"""The entry daemon: creates the servers, feeds and clients, and starts and drains them."""

from __future__ import annotations

import random
from typing import Any

from egretford.clock import Clock
from egretford.entry.crashes import SharedCrashes
from egretford.entry.dialing import WorkerDialer
from egretford.entry.forwarding import Forwarder
from egretford.entry.gateway import Gateway
from egretford.entry.keepers import KeeperClient
from egretford.entry.origins import StreamOrigins
from egretford.entry.peers import EntryDirectory
from egretford.entry.relayed_store import RelayedStore
from egretford.entry.tunnels import WorkerTunnels
from egretford.entry.turns import Turns
from egretford.entry.workers import WorkerTable
from egretford.http.limits import SMALL_CAPACITY, RequestLimits
from egretford.http.messages import Headers, HttpRequest
from egretford.http.responder import Responder
from egretford.http.server import HttpServer
from egretford.instance import InstanceSettings
from egretford.keeper.messages import KeeperReply, KeeperRequest
from egretford.logs import make_logger
from egretford.metrics import Metrics
from egretford.peer.streams import StreamPeerClient
from egretford.platform.feeds import StoreHealth, build_configuration_feed, build_worker_feed
from egretford.platform.store import MetadataStore
from egretford.platform.stored_state import StoredView
from egretford.policy.detours import PeerEntry
from egretford.policy.placement import Placement
from egretford.policy.relays import compute_watch_seconds

# Seconds for which new connections may still arrive after readiness was withdrawn: it is probed
# once a second, and an instance leaves the rotation after two failed probes.
READINESS_LAG_SECONDS = 3.0
# Seconds of the grace period that are reserved for answering requests whose time has just ended,
# closing sockets and flushing the log.
EXIT_RESERVE_SECONDS = 0.7
ANSWER_RESERVE_SECONDS = 0.3
# Interval of checks for open connections while draining, in seconds.
DRAIN_POLL_SECONDS = 0.05
# Prefill rate of the engines, for the placement's cost estimates.
ENGINE_PREFILL_TOKENS_PER_SECOND = 247_000.0


class EntryDaemon:
    """Owns the parts of one entry process; `start`, `drain` and `close` run its life cycle."""

    def __init__(
        self, settings: InstanceSettings, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = self._make_logger("entry")
        self._store = MetadataStore(settings.store_address, clock, self._make_logger("store"))
        self._health = StoreHealth(clock, self._make_logger("store"))
        self._dialer = WorkerDialer(clock, metrics, self._make_logger("dialing"))
        self.workers = WorkerTable(clock, self._health, self._dialer, self._make_logger("workers"))
        self._peers = StreamPeerClient(
            KeeperRequest, KeeperReply, self._make_logger("peer"), metrics
        )
        self._keepers = KeeperClient(
            self._peers,
            StoredView(self._store).read,
            settings.tolerated_losses,
            settings.failure_domain,
            settings.regions,
            clock,
            self._make_logger("keepers"),
        )
        self._directory = EntryDirectory(
            PeerEntry(settings.name, settings.reachable_address, settings.failure_domain),
            self._keepers,
            settings.regions,
            lambda: self._dialer.is_isolated,
            clock,
            rng,
            self._make_logger("peers"),
        )
        self._dialer.attach_directory(self._directory)
        self._tunnels = WorkerTunnels(
            self.workers, self._dialer, self._directory, self._make_logger("tunnels")
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
            StreamOrigins(self._keepers, self.workers, self._make_logger("origins")),
            self._crashes,
            metrics,
            clock,
            rng,
            self._make_logger("gateway"),
        )
        limits = RequestLimits()
        self._caller_server = HttpServer(
            self.gateway.handle, limits, clock, self._make_logger("callers")
        )
        self._readiness_server = HttpServer(
            self._answer_readiness,
            limits,
            clock,
            self._make_logger("readiness"),
            SMALL_CAPACITY,
        )
        self.gateway.attach_server(self._caller_server)
        feed_log = self._make_logger("feeds")
        self._relays = StreamPeerClient(KeeperRequest, KeeperReply, self._make_logger("peer"))
        source = RelayedStore(
            self._store,
            self._relays,
            self._keepers.list_relays,
            compute_watch_seconds(settings.bounds.change_limit),
            self._health,
            clock,
            rng,
            self._make_logger("relays"),
        )
        self._feeds = [
            build_configuration_feed(
                source, self.gateway.apply_configuration, self._health, clock, feed_log
            ),
            build_worker_feed(source, self.workers, self._health, clock, feed_log),
        ]
        self._draining = False
        self._was_ready = False

    def _make_logger(self, part: str) -> Any:
        return make_logger(part, instance=self._settings.name)

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve new callers and is not shutting down.

        Instances that reach too few keepers leave turns to those that reach more.
        """
        knows_routes = self.gateway.configuration_version is not None
        knows_workers = self.workers.listed_at is not None
        has_keepers = self._keepers.has_enough_members and self._keepers.reaches_quorum
        return knows_routes and knows_workers and has_keepers and not self._draining

    async def start(self) -> None:
        """Open the listeners, then start the feeds from the store and the background tasks."""
        settings = self._settings
        await self._caller_server.start(settings.callers_address)
        await self._readiness_server.start(settings.readiness_address)
        for feed in self._feeds:
            await feed.start()
        await self._tunnels.start(settings.peer_address)
        await self._keepers.start()
        await self._crashes.start()
        await self._directory.start()
        self._log.info("started", domain=settings.failure_domain, first=settings.first_start)

    def reload(self, settings: InstanceSettings) -> None:
        """Adopt changed settings; a change of addresses takes effect only after a restart."""
        self._settings = settings

    async def drain(self) -> None:
        """Withdraw readiness, then serve until no connection is left or the grace period ends.

        Requests that could still be running at its end are refused, so that none is cut off. The
        listener is closed while connections are still served and sent the rest of their answers.
        """
        clock, grace = self._clock, self._settings.bounds.stop_grace
        started_at = clock.monotonic()
        stop_at = started_at + grace - EXIT_RESERVE_SECONDS
        self._draining = True
        self.gateway.set_stop_time(stop_at)
        self.gateway.end_requests(stop_at + ANSWER_RESERVE_SECONDS / 2)
        self._caller_server.draining = True
        self._tunnels.draining = True
        self._log.info("stopping: not ready any more", active=self._caller_server.active)
        await clock.sleep(min(READINESS_LAG_SECONDS, grace / 2))
        while clock.monotonic() < stop_at + ANSWER_RESERVE_SECONDS:
            self._caller_server.close_idle()
            if not self._caller_server.connections or clock.monotonic() >= stop_at:
                # Connections that were being accepted appear by the next check.
                is_idle = not self._caller_server.connections and not self._tunnels.active
                if is_idle and not self._caller_server.is_listening:
                    break
                self._caller_server.stop_listening()
            await clock.sleep(DRAIN_POLL_SECONDS)
        self._caller_server.stop_listening()
        self._log.info(
            "stopped",
            after_s=round(clock.monotonic() - started_at, 2),
            cut=self._caller_server.active,
            tunnels=self._tunnels.active,
        )

    async def close(self) -> None:
        """Close listeners, feeds and clients; requests that are still running are cut off."""
        for feed in self._feeds:
            await feed.close()
        await self._caller_server.close()
        await self._readiness_server.close()
        await self._tunnels.close()
        await self._directory.close()
        await self._dialer.close()
        self.workers.close()
        await self._crashes.close()
        await self._keepers.close()
        await self._peers.close()
        await self._relays.close()
        await self._store.close()

    async def _answer_readiness(self, http: HttpRequest, responder: Responder) -> None:
        ready = self.is_ready
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.info("readiness changed", ready=ready)
        responder.send_response(200 if ready else 503, Headers(), b"")
