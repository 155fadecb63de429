"""Views: which keepers hold records, and which of them count.

Views change one active member at a time, except that a new one takes the place of those that are
gone. Keepers refuse requests that come under an older view than their own, so no two views are in
use at one keeper. What that means for charges is in `policy/groups.py`, for turns in
`policy/copies.py`.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from attrs import evolve, frozen


class MemberState(StrEnum):
    """Whether a keeper counts: it does not while it still copies, or others still copy it."""

    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"


@frozen
class Member:
    """A keeper of a view; `disk` is new whenever its disk is."""

    name: str
    disk: str
    address: str
    failure_domain: str
    state: MemberState = MemberState.JOINING


@frozen
class View:
    """The keepers under one number; higher numbers replace lower ones.

    `generation` counts the changes of the active members.
    `dropped` lists the disks of members that were removed while they could not be reached, or
    lost their disk: what only they hold may come back with them, or is gone.
    """

    number: int = 0
    members: tuple[Member, ...] = ()
    dropped: tuple[str, ...] = ()
    generation: int = 0

    @property
    def active(self) -> tuple[Member, ...]:
        """The members that count."""
        return tuple(m for m in self.members if m.state is MemberState.ACTIVE)

    @property
    def holders(self) -> tuple[Member, ...]:
        """The members that may hold what others do not: all but those that still join."""
        return tuple(m for m in self.members if m.state is not MemberState.JOINING)

    @property
    def replaced(self) -> frozenset[str]:
        """The disks of members whose instance joins again with another disk: they are lost."""
        joining = {m.name: m.disk for m in self.members if m.state is MemberState.JOINING}
        return frozenset(m.disk for m in self.members if joining.get(m.name, m.disk) != m.disk)

    def find(self, disk: str) -> Member | None:
        """Return the member with a disk, or None."""
        return next((member for member in self.members if member.disk == disk), None)


def _advance(view: View, members: Iterable[Member], dropped: Iterable[str]) -> View:
    """Return the view after `view`; its generation is new if other members are active."""
    after = View(view.number + 1, tuple(members), tuple(dropped), view.generation)
    same = {m.disk for m in after.active} == {m.disk for m in view.active}
    return after if same else evolve(after, generation=view.generation + 1)


def add_member(view: View, member: Member) -> View:
    """Return the next view with a member that begins to copy; the first one is active."""
    others = [
        m
        for m in view.members
        if m.disk != member.disk and not (m.name == member.name and m.state is MemberState.JOINING)
    ]
    state = MemberState.JOINING if others else MemberState.ACTIVE
    return _advance(view, [*others, evolve(member, state=state)], view.dropped)


def activate_member(view: View, disk: str, unreachable: frozenset[str]) -> View:
    """Return the next view, in which a member that has copied all others counts.

    Its instance's former disk is gone, and dropped like members that could not be reached.
    """
    mine = view.find(disk)
    former = {m.disk for m in view.holders if m.name == mine.name} - {disk}
    kept = []
    for member in view.members:
        if member.disk == disk:
            kept.append(evolve(member, state=MemberState.ACTIVE))
        elif member.name != mine.name and member.disk not in unreachable:
            kept.append(member)
    return _advance(view, kept, sorted({*view.dropped, *unreachable, *former} - {disk}))


def mark_leaving(view: View, disk: str) -> View:
    """Return the next view, in which a member no longer counts but is still read."""
    members = [evolve(m, state=MemberState.LEAVING) if m.disk == disk else m for m in view.members]
    return _advance(view, members, view.dropped)


def remove_member(view: View, disk: str) -> View:
    """Return the next view without a member whose records are all held by others."""
    return _advance(view, [m for m in view.members if m.disk != disk], view.dropped)


def drop_member(view: View, disk: str) -> View:
    """Return the next view without a member that cannot be reached."""
    return _advance(view, [m for m in view.members if m.disk != disk], (*view.dropped, disk))


def forget_dropped(view: View, disk: str) -> View:
    """Return the next view, in which a dropped member's records are past their retention."""
    return _advance(view, view.members, [other for other in view.dropped if other != disk])
