"""Which keepers store a turn.

A turn is replicated on a few keepers near the program's callers, on more than may be lost at
once.
"""

from __future__ import annotations

from collections.abc import Mapping

from egretford.policy.membership import rank_by_hash
from egretford.policy.views import Member, View


def rank_turn_keepers(
    members: list[Member], program: str, failure_domain: str, regions: Mapping[str, str]
) -> list[Member]:
    """Order members by preference for storing a program's turns, seen from a failure domain.

    Members of the domain's region come first. Within a region the order is by hash of the
    program, so that all of its turns go to the same members.
    """
    region = regions.get(failure_domain)
    hash_rank = {
        name: rank for rank, name in enumerate(rank_by_hash(program, (m.name for m in members)))
    }

    def sort_key(member: Member) -> tuple[bool, int]:
        return regions.get(member.failure_domain) != region, hash_rank[member.name]

    return sorted(members, key=sort_key)


def list_turn_keepers(
    view: View,
    turn_id: str,
    initial_holders: tuple[str, ...],
    tolerated_losses: int,
    joining: str | None = None,
) -> set[str]:
    """Return the names of the instances whose keepers must store a turn.

    `initial_holders` are the instances that stored it first. Those that are not active are
    replaced by others, chosen by hash of the turn so that all keepers agree. Members that are
    joining may never become active, so only the one named by `joining` is counted as active.
    """
    remaining = view.active_names
    if joining is not None:
        remaining |= {joining}
    missing = tolerated_losses + 1 - len(remaining.intersection(initial_holders))
    if missing <= 0:
        return set(initial_holders)
    successors = rank_by_hash(turn_id, remaining.difference(initial_holders))[:missing]
    return {*initial_holders, *successors}


def must_store_turn(
    view: View, name: str, turn_id: str, initial_holders: tuple[str, ...], tolerated_losses: int
) -> bool:
    """Whether the keeper of instance `name` must store a turn.

    A joining keeper must store what it will have to store once it is active.
    """
    if name in initial_holders:
        return True
    joining = name if name in view.joining_names else None
    return name in list_turn_keepers(view, turn_id, initial_holders, tolerated_losses, joining)


def list_near_successors(
    view: View,
    holder: Member,
    turn_id: str,
    initial_holders: tuple[str, ...],
    behind: frozenset[str],
    tolerated_losses: int,
    regions: Mapping[str, str],
) -> set[str]:
    """Return the names of further instances that must store a turn while some lack theirs.

    `holder` has the turn; `behind` names the instances that may not have what they must store, as
    their disk is lost, they are silent or they still copy. They may be away for long, or copy over
    a slow link, so others in the holder's region, chosen by hash of the turn, take copies at once.
    """
    keepers = list_turn_keepers(view, turn_id, initial_holders, tolerated_losses)
    present = ((keepers & view.active_names) - behind) | {holder.name}
    missing = tolerated_losses + 1 - len(present)
    if missing <= 0:
        return set()
    candidates = {
        member.name
        for member in view.active
        if is_same_region(member, holder, regions) and member.name not in keepers | present | behind
    }
    return set(rank_by_hash(turn_id, candidates)[:missing])


def is_same_region(one: Member, other: Member, regions: Mapping[str, str]) -> bool:
    """Whether two members are in one region; a failure domain without one is its own."""
    first, second = (regions.get(m.failure_domain, m.failure_domain) for m in (one, other))
    return first == second
