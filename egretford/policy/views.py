"""Views: which keepers store records, and which of them are active.

A change of view adds or removes one active member, except that a new member may replace all
those that are gone. Keepers refuse requests made under an older view than their own, so a keeper
never serves two views at once. `policy/groups.py` describes what follows for charges,
`policy/turn_replicas.py` what follows for turns.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from functools import cached_property

from attrs import evolve, frozen


class MemberState(StrEnum):
    """Whether a keeper counts towards quorums.

    A joining member still copies records from others; a leaving one is still being copied.
    Neither counts.
    """

    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"


@frozen
class Member:
    """A keeper in a view; `disk` identifies its data disk and changes when that is replaced."""

    name: str
    disk: str
    address: str
    failure_domain: str
    state: MemberState = MemberState.JOINING


@frozen
class View:
    """A numbered set of keepers; a higher number replaces a lower one.

    `generation` counts the changes of the active members.
    `dropped` lists the disks of members that were removed while unreachable or that lost their
    disk. A record that only such a member has returns with it or is lost.
    """

    number: int = 0
    members: tuple[Member, ...] = ()
    dropped: tuple[str, ...] = ()
    generation: int = 0

    # Evaluated for each record that is listed to another keeper.
    @cached_property
    def active(self) -> tuple[Member, ...]:
        """The members that count towards quorums."""
        return tuple(m for m in self.members if m.state is MemberState.ACTIVE)

    @cached_property
    def active_names(self) -> frozenset[str]:
        """The instances of the active members."""
        return frozenset(member.name for member in self.active)

    @cached_property
    def joining_names(self) -> frozenset[str]:
        """The instances of the joining members."""
        return frozenset(m.name for m in self.members if m.state is MemberState.JOINING)

    @property
    def holders(self) -> tuple[Member, ...]:
        """The members that may have records that no other has: all except joining ones."""
        return tuple(m for m in self.members if m.state is not MemberState.JOINING)

    @cached_property
    def lost_disks(self) -> frozenset[str]:
        """The lost disks: those of members whose instance is joining again with another disk."""
        joining = {m.name: m.disk for m in self.members if m.state is MemberState.JOINING}
        return frozenset(m.disk for m in self.members if joining.get(m.name, m.disk) != m.disk)

    def find(self, disk: str) -> Member | None:
        """Return the member with this disk, or None."""
        return next((member for member in self.members if member.disk == disk), None)


def _build_next(view: View, members: Iterable[Member], dropped: Iterable[str]) -> View:
    """Return the view after `view`, in a new generation if the active members change."""
    following = View(view.number + 1, tuple(members), tuple(dropped), view.generation)
    same_active = {m.disk for m in following.active} == {m.disk for m in view.active}
    return following if same_active else evolve(following, generation=view.generation + 1)


def add_member(view: View, member: Member) -> View:
    """Return the next view with a joining member; the first member of all is active at once."""
    others = [
        m
        for m in view.members
        if m.disk != member.disk and not (m.name == member.name and m.state is MemberState.JOINING)
    ]
    state = MemberState.JOINING if others else MemberState.ACTIVE
    return _build_next(view, [*others, evolve(member, state=state)], view.dropped)


def activate_member(view: View, disk: str, unreachable: frozenset[str]) -> View:
    """Return the next view, in which a member that has copied all others is active.

    The former disk of its instance and the `unreachable` members are removed and dropped.
    """
    activated = view.find(disk)
    former = {m.disk for m in view.holders if m.name == activated.name} - {disk}
    next_members = []
    for member in view.members:
        if member.disk == disk:
            next_members.append(evolve(member, state=MemberState.ACTIVE))
        elif member.name != activated.name and member.disk not in unreachable:
            next_members.append(member)
    return _build_next(view, next_members, sorted({*view.dropped, *unreachable, *former} - {disk}))


def mark_leaving(view: View, disk: str) -> View:
    """Return the next view, in which a member is leaving: it is still read but does not count."""
    members = [evolve(m, state=MemberState.LEAVING) if m.disk == disk else m for m in view.members]
    return _build_next(view, members, view.dropped)


def remove_member(view: View, disk: str) -> View:
    """Return the next view without a member whose records have all been copied to others."""
    return _build_next(view, [m for m in view.members if m.disk != disk], view.dropped)


def drop_member(view: View, disk: str) -> View:
    """Return the next view without an unreachable member, whose disk is listed as dropped."""
    return _build_next(view, [m for m in view.members if m.disk != disk], (*view.dropped, disk))


def forget_dropped(view: View, disk: str) -> View:
    """Return the next view without a dropped disk whose records are past their retention."""
    return _build_next(view, view.members, [other for other in view.dropped if other != disk])
