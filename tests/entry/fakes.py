"""Fake peers of a keeper client, with scripted replies."""

from __future__ import annotations

import asyncio

from attrs import Factory, define

from egretford.errors import PeerUnreachableError
from egretford.keeper.messages import Kept
from egretford.policy.views import Member, MemberState, View

MEMBERS = tuple(Member(n, f"d-{n}", n, "z", MemberState.ACTIVE) for n in "abc")
VIEW = View(3, MEMBERS, generation=3)


@define
class FakePeers:
    """Replies by address: a message, or a function of the request, and a delay in seconds."""

    answers: dict[str, tuple[object, float]]
    asked: list[str] = Factory(list)

    async def ask(self, address, message, seconds):
        self.asked.append(address)
        reply, delay = self.answers[address]
        await asyncio.sleep(min(delay, seconds))
        if delay > seconds:
            raise PeerUnreachableError(address)
        return reply(message) if callable(reply) else reply

    def keep_only(self, addresses):
        return


class RecordingKeepers:
    """A keeper client whose keepers take each record; they are not asked for any."""

    async def request_quorum(self, program, message, kind, *, fail_fast=True, hedge_delay=0.05):
        assert kind is Kept

    def has_available_quorum(self, program):
        return True

    def run_in_background(self, coroutine):
        return asyncio.ensure_future(coroutine)
