"""Learns from the other keepers which turns they renewed, so that copies expire together."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import EgretfordError, RequestError
from egretford.keeper.copying import RecordCopier
from egretford.keeper.messages import ListRenewals, RenewalPage
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.peer.interface import Peers
from egretford.policy.views import Member

# Pause between two polls of a keeper. Turns are kept some seconds longer than they have to.
POLL_INTERVAL_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 2.0
# A keeper that refused is asked again after so many seconds; an older version does not know the
# request, and logs an error each time.
REFUSAL_BACKOFF_SECONDS = 10.0


@define
class _Source:
    """How far another keeper's renewals are known, as of the view with `members`.

    `paused_until` is in monotonic seconds.
    """

    members: tuple[Member, ...] = ()
    lifetime: str = ""
    position: int = 0
    paused_until: float = 0.0


class RenewalFeed:
    """Polls the other keepers of the view for renewals, and applies these to the own records."""

    def __init__(
        self,
        name: str,
        disk: str,
        service: KeeperService,
        records: Records,
        copier: RecordCopier,
        peers: Peers,
        clock: Clock,
        log: Any,
    ) -> None:
        self._name = name
        self._disk = disk
        self._service = service
        self._records = records
        self._copier = copier
        self._peers = peers
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()
        self._sources: dict[str, _Source] = {}

    async def start(self) -> None:
        """Start to poll."""
        self._tasks.spawn(run_every(self._clock, POLL_INTERVAL_SECONDS, self.poll, self._log))

    async def close(self) -> None:
        """Stop polling."""
        await self._tasks.close()

    async def poll(self) -> None:
        """Ask each other keeper once for its renewals."""
        others = [m for m in self._service.view.members if m.disk != self._disk]
        self._sources = {m.disk: self._sources.get(m.disk, _Source()) for m in others}
        await asyncio.gather(*(self._poll_member(member) for member in others))

    async def _poll_member(self, member: Member) -> None:
        source = self._sources[member.disk]
        if self._clock.monotonic() < source.paused_until:
            return
        try:
            while await self._copy_page(member, source):
                pass
        except RequestError as error:
            source.paused_until = self._clock.monotonic() + REFUSAL_BACKOFF_SECONDS
            self._log.warning("a keeper refused its renewals", keeper=member.name, error=str(error))
        except EgretfordError as error:
            self._log.info("could not list renewals", keeper=member.name, error=str(error))

    async def _copy_page(self, member: Member, source: _Source) -> bool:
        """Request one page; returns whether to request another at once."""
        view = self._service.view
        if source.members != view.members:
            # Which member must hold which turn has changed.
            source.members, source.position = view.members, 0
        message = ListRenewals(
            self._disk, self._name, source.lifetime, source.position, view=view.number
        )
        reply = await self._peers.ask(member.address, message, REQUEST_TIMEOUT_SECONDS)
        # Other replies concern the view, which the copying of records brings up to date.
        if not isinstance(reply, RenewalPage):
            return False
        self._apply(member, reply)
        source.lifetime, source.position = reply.lifetime, reply.position
        return reply.more

    def _apply(self, member: Member, page: RenewalPage) -> None:
        lacking = []
        for turn_id, seconds in page.turns:
            if self._records.has_turn(turn_id):
                self._records.extend_turn(turn_id, seconds)
            else:
                lacking.append(turn_id)
        for turn_id, seconds in page.broken_chains:
            if self._records.has_turn(turn_id):
                self._records.extend_chain(turn_id, seconds)
        if lacking:
            self._log.info("fetching renewed turns", keeper=member.name, turns=len(lacking))
            self._copier.fetch_turns(member.disk, lacking)
