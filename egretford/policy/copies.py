"""Which keepers hold a turn: a few near the program's callers, more than may be lost at once."""

from __future__ import annotations

from collections.abc import Mapping

from egretford.policy.membership import rank_by_hash
from egretford.policy.views import Member, MemberState, View


def rank_copies(
    members: list[Member], program: str, failure_domain: str, regions: Mapping[str, str]
) -> list[Member]:
    """Order members by where a program's turns are best kept, as seen from a failure domain.

    Those of the same region come first, the same ones for all turns of the program.
    """
    region = regions.get(failure_domain)
    order = {
        name: rank for rank, name in enumerate(rank_by_hash(program, (m.name for m in members)))
    }

    def place(member: Member) -> tuple[bool, int]:
        return regions.get(member.failure_domain) != region, order[member.name]

    return sorted(members, key=place)


def must_hold(
    view: View, name: str, turn_id: str, copies: tuple[str, ...], tolerated_losses: int
) -> bool:
    """Whether an instance's keeper is to hold a turn, given where it was kept at first.

    Where some of those are gone or leaving, others take their place, the same ones for all.
    """
    if name in copies:
        return True
    counted = {member.name for member in view.members if member.state is not MemberState.LEAVING}
    lacking = tolerated_losses + 1 - len(counted & set(copies))
    if lacking <= 0:
        return False
    return name in rank_by_hash(turn_id, counted - set(copies))[:lacking]
