"""The keeper daemon: wires the keeper's components together, starts and stops them."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Any

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.instance import InstanceSettings
from egretford.keeper.copying import RecordCopier
from egretford.keeper.crash_reports import CrashArchive, StoredCrashes
from egretford.keeper.handover import TurnHandover
from egretford.keeper.log import DiskLog, DurableMarker, write_file_durably
from egretford.keeper.membership import Membership
from egretford.keeper.messages import KeeperReply, KeeperRequest, WatchObjects
from egretford.keeper.object_relay import ObjectRelay
from egretford.keeper.records import Records
from egretford.keeper.renewals import RenewalFeed
from egretford.keeper.service import KeeperService
from egretford.keeper.stalls import StallWatch
from egretford.keeper.state_file import StateFile
from egretford.logs import make_logger
from egretford.metrics import Metrics
from egretford.peer.streams import StreamPeerClient, StreamPeerServer
from egretford.platform.documents import ENTRY_KINDS, EVACUATIONS_KIND
from egretford.platform.feeds import ObjectFeed, StoreHealth
from egretford.platform.store import MetadataStore
from egretford.platform.stored_state import StoredEvacuations, StoredView
from egretford.policy.groups import Completion
from egretford.policy.relays import compute_watch_seconds
from egretford.policy.views import Member

DISK_ID_FILE = "disk-id"
READY_FILE = "ready"
COMPLETION_FILE = "completion"
CRASHES_FILE = "crashes"
MAINTENANCE_INTERVAL_SECONDS = 1.0


class KeeperDaemon:
    """The components of one keeper process and their lifecycle."""

    def __init__(self, settings: InstanceSettings, clock: Clock, metrics: Metrics) -> None:
        self._settings = settings
        self._clock = clock
        self.metrics = metrics
        self._tasks = TaskGroup()
        self._log = self._make_logger("keeper")
        folder = Path(settings.data_folder)
        self._disk_log = DiskLog(folder / "records", self._make_logger("disk"))
        self._records = Records(self._disk_log, clock, self._make_logger("records"))
        disk = read_disk_identity(folder)
        member = Member(
            settings.name, disk, f"tcp://{settings.reachable_address}", settings.failure_domain
        )
        self._service = KeeperService(
            folder,
            disk,
            settings.tolerated_losses,
            self._records,
            clock,
            metrics,
            self._make_logger("service"),
            settings.regions,
        )
        self._peers = StreamPeerClient(KeeperRequest, KeeperReply, self._make_logger("peer"))
        self._server = StreamPeerServer(
            f"tcp://{settings.peer_address}",
            self._answer,
            self._make_logger("peer"),
            KeeperRequest,
            KeeperReply,
        )
        self._completions = StateFile(
            folder / COMPLETION_FILE, Completion(), self._make_logger("completions")
        )
        crash_log = self._make_logger("crashes")
        self._crash_archive = CrashArchive(
            self._service.crashes,
            StateFile(folder / CRASHES_FILE, StoredCrashes(), crash_log),
            clock,
            crash_log,
        )
        self._copier = RecordCopier(
            settings.name,
            disk,
            self._service,
            self._records,
            self._peers,
            self._completions,
            clock,
            self._make_logger("copying"),
        )
        self._service.on_view_adopted = self._copier.handle_new_view
        self._renewals = RenewalFeed(
            settings.name,
            disk,
            self._service,
            self._records,
            self._copier,
            self._peers,
            clock,
            self._make_logger("renewals"),
        )
        self._stalls = StallWatch(self._copier, clock, self._make_logger("stalls"))
        self._store = MetadataStore(settings.store_address, clock, self._make_logger("store"))
        health = StoreHealth(clock, self._make_logger("store"))
        evacuations = StoredEvacuations(self._store, self._make_logger("evacuation"))
        self._feed = ObjectFeed(
            self._store, EVACUATIONS_KIND, evacuations, health, clock, self._make_logger("feeds")
        )
        self._relay = ObjectRelay(
            self._store,
            ENTRY_KINDS,
            compute_watch_seconds(settings.bounds.change_limit),
            health,
            clock,
            self._make_logger("relay"),
        )
        handover = TurnHandover(
            self._service,
            self._records,
            self._peers,
            settings.tolerated_losses,
            self._make_logger("handover"),
        )
        self._membership = Membership(
            member,
            self._service,
            self._records,
            self._copier,
            StoredView(self._store),
            evacuations,
            DurableMarker(folder / READY_FILE),
            handover,
            settings.tolerated_losses,
            clock,
            self._make_logger("membership"),
        )

    async def _answer(self, message: KeeperRequest) -> KeeperReply:
        if isinstance(message, WatchObjects):
            return await self._relay.answer(message)
        return await self._service.answer(message)

    def _make_logger(self, part: str) -> Any:
        return make_logger(part, instance=self._settings.name)

    @property
    def is_ready(self) -> bool:
        """Whether the keeper holds all its records and serves all requests of entries."""
        return self._service.ready

    async def start(self) -> None:
        """Load the records and the view from disk, then start the server and join the view."""
        self._records.load()
        self._service.load_view(self._completions.load())
        self._crash_archive.load()
        await self._server.start()
        await self._feed.start()
        await self._relay.start()
        await self._copier.start()
        await self._renewals.start()
        await self._stalls.start()
        await self._membership.start()
        self._tasks.spawn(
            run_every(self._clock, MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance, self._log)
        )
        # Apart from other maintenance, as a disk may hang.
        self._tasks.spawn(
            run_every(
                self._clock, MAINTENANCE_INTERVAL_SECONDS, self._crash_archive.save, self._log
            )
        )
        self._log.info(
            "started",
            domain=self._settings.failure_domain,
            first=self._settings.first_start,
            view=self._service.view.number,
        )

    async def _run_maintenance(self) -> None:
        await self._records.expire()
        for name, amount in self._records.counts.items():
            self.metrics.set_gauge(name, amount)
        self.metrics.set_gauge("view", self._service.view.number)
        self.metrics.set_gauge("ready", int(self.is_ready))

    def reload(self, settings: InstanceSettings) -> None:
        """Replace the settings; addresses and the data folder stay as they were at startup."""
        self._settings = settings

    async def drain(self) -> None:
        """Log the shutdown; nothing to wait for, since acknowledged records are synced."""
        self._log.info("stopping", **self._records.counts)

    async def close(self) -> None:
        """Stop all components; the log on disk is closed last."""
        await self._membership.close()
        await self._stalls.close()
        await self._renewals.close()
        await self._copier.close()
        await self._feed.close()
        await self._relay.close()
        await self._server.close()
        await self._peers.close()
        await self._store.close()
        await self._tasks.close()
        await self._disk_log.close()
        self._log.info("stopped")


def read_disk_identity(folder: Path) -> str:
    """Return the id of the disk, creating one if the data folder has none yet."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / DISK_ID_FILE
    try:
        found = path.read_text().strip()
    except FileNotFoundError:
        found = ""
    if not found:
        found = uuid.uuid4().hex
        write_file_durably(path, found.encode())
    return found
