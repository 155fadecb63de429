"""One incarnation of an entry: the state that moves to another entry in a takeover."""

from __future__ import annotations

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.crashes import CrashController
from egretford.controllers.janitor import JanitorController
from egretford.controllers.journal import JournalWriter
from egretford.controllers.members import MembersController
from egretford.controllers.openings import OpeningController
from egretford.controllers.orders import OrdersController
from egretford.controllers.owner import Owner
from egretford.controllers.scheduling import SchedulingController
from egretford.controllers.takeover import TakeoverController
from egretford.filters.budget import BudgetFilter
from egretford.filters.chain import Proceed, build_chain
from egretford.filters.claims import ClaimFilter
from egretford.filters.dispatch import Dispatcher
from egretford.filters.grants import GrantFilter
from egretford.filters.limits import LimitFilter
from egretford.filters.quarantine import QuarantineFilter
from egretford.filters.retries import RetryFilter
from egretford.models import Member
from egretford.peer.interface import Peers
from egretford.platform.objects import Platform
from egretford.policy.program import Program, ProgramTable
from egretford.upstream.interface import Upstream

INCARNATION_BITS = 64


class Node:
    """The controllers of one incarnation; replaced as a whole after a takeover."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        upstream: Upstream,
        peers: Peers,
        configuration: ConfigurationController,
        crashes: CrashController,
        scheduling: SchedulingController,
    ) -> None:
        settings = context.settings
        self.incarnation = f"{context.rng.getrandbits(INCARNATION_BITS):016x}"
        self.table = ProgramTable()
        self.journal = JournalWriter(context, platform, self.incarnation, self.table.root_of)
        self.owner = Owner(context, self.incarnation, self.journal, self.table, configuration)
        me = Member(
            incarnation=self.incarnation,
            owner=self.incarnation,
            address=f"tcp://{settings.peer.host}:{settings.peer.port}",
            failure_domain=settings.failure_domain,
            region=settings.region,
            instance=settings.instance,
            renewed_at=context.clock.now(),
        )
        self.members = MembersController(context, platform, peers, configuration, me)
        self.takeover = TakeoverController(
            context, platform, self.members, self.owner, self.journal, configuration
        )
        self.openings = OpeningController(platform)
        self.janitor = JanitorController(
            context, upstream, self.owner, self.journal, configuration, self._on_program_dropped
        )
        self.orders = OrdersController(context, platform, upstream, configuration, self.members)
        self._scheduling = scheduling
        self.owner.set_chain(self._build_chain(context, upstream, crashes))

    def _build_chain(
        self, context: Context, upstream: Upstream, crashes: CrashController
    ) -> Proceed:
        dispatcher = Dispatcher(upstream, self.owner.record_writer, context.clock, context.rng)
        filters = [
            LimitFilter(context.settings.limits.running_calls),
            RetryFilter(context.clock, context.rng),
            QuarantineFilter(crashes, context.clock),
            BudgetFilter(self.owner.record_writer),
            GrantFilter(self._scheduling, context.clock),
            ClaimFilter(self.owner.record_writer),
        ]
        return build_chain(filters, dispatcher.dispatch)

    def _on_program_dropped(self, program: Program) -> None:
        self._scheduling.forget_program(program.id)
        if program.opened.opening_key is not None:
            self.janitor.schedule_key_deletion(self.openings, program.opened.opening_key)

    async def start(self) -> None:
        """Start the journal, announce the incarnation and start the other controllers."""
        await self.journal.start()
        await self.members.start()
        await self.takeover.start()
        await self.janitor.start()
        await self.orders.start()

    async def close(self) -> None:
        """Stop all controllers without a handover; a successor takes over the programs."""
        await self.orders.close()
        await self.takeover.close()
        await self.janitor.close()
        await self.members.close()
        await self.owner.close()
        await self.journal.close()

    @property
    def is_fenced(self) -> bool:
        """Whether another entry has taken over this incarnation or sealed its journal."""
        return self.journal.sealed.is_set() or self.members.taken_over.is_set()
