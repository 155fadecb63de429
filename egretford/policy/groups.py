"""Which keepers hold a program's charges, and when one that newly does may answer.

A program's group is some of the active members, twice the tolerated losses and one, chosen by
hash, so that a keeper's share of the work shrinks as keepers are added. A change of the active
members replaces at most one member of each group. The new one answers for the program once it
has copied from enough others that one of them surely has each charge; the others go on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import Factory, define, frozen

from egretford.policy.membership import rank_by_hash
from egretford.policy.views import MemberState, View

# Sets of disks whose groups are remembered: those of the newest views.
MAX_CACHED_SETS = 4
# Programs remembered a set; beyond it all are reckoned again.
MAX_CACHED_PROGRAMS = 20_000


def choose_group(disks: Iterable[str], program: str, tolerated_losses: int) -> tuple[str, ...]:
    """Return the disks, of the active ones, that hold a program's charges."""
    return tuple(rank_by_hash(program, disks)[: 2 * tolerated_losses + 1])


@define
class GroupCache:
    """Groups by program for the few sets of disks in use."""

    tolerated_losses: int
    _sets: OrderedDict[tuple[str, ...], dict[str, tuple[str, ...]]] = Factory(OrderedDict)

    def find(self, disks: tuple[str, ...], program: str) -> tuple[str, ...]:
        """Return the group of a program among `disks`."""
        groups = self._sets.get(disks)
        if groups is None or len(groups) > MAX_CACHED_PROGRAMS:
            groups = self._sets[disks] = {}
            while len(self._sets) > MAX_CACHED_SETS:
                self._sets.popitem(last=False)
        group = groups.get(program)
        if group is None:
            group = groups[program] = choose_group(disks, program, self.tolerated_losses)
        return group


def list_active(view: View) -> tuple[str, ...]:
    """Return the active disks, sorted."""
    return tuple(sorted(member.disk for member in view.active))


def list_counted(view: View, disk: str) -> tuple[str, ...]:
    """Return the active disks, as they will be once the member with `disk` is active."""
    mine = view.find(disk)
    if mine is None or mine.state is not MemberState.JOINING:
        return list_active(view)
    others = (member.disk for member in view.active if member.name != mine.name)
    return tuple(sorted([*others, disk]))


def count_group_quorum(size: int, tolerated_losses: int) -> int:
    """Return how many members of a group of `size` must have synced a charge."""
    return max(tolerated_losses + 1, size // 2 + 1)


@frozen
class Completion:
    """The active disks of a view under which a keeper had copied all that it is to hold."""

    generation: int = 0
    disks: tuple[str, ...] = ()


@define
class GroupMemory:
    """For which programs one keeper surely holds every charge that was ever kept.

    `since` lists the active disks of each generation after the completion, as long as none
    was passed over (`unbroken`).
    """

    disk: str
    groups: GroupCache
    completion: Completion = Completion()
    generation: int = 0
    since: list[tuple[str, ...]] = Factory(list)
    unbroken: bool = True

    def adopt(self, view: View) -> None:
        """Take a newer view."""
        if view.generation == self.generation:
            return
        if view.generation != self.generation + 1:
            self.unbroken = False
        self.generation = view.generation
        self.since.append(list_active(view))

    def restore(self, completion: Completion, view: View) -> None:
        """Take what the disk had before a restart."""
        self.completion = completion
        self.generation = view.generation
        self.unbroken = completion.generation == view.generation
        self.since = [] if self.unbroken else [list_active(view)]

    @property
    def is_complete(self) -> bool:
        """Whether all is copied under the newest generation."""
        return self.completion.generation == self.generation > 0

    def covers(self, program: str) -> bool:
        """Whether a program's charges are surely held here."""
        if self.is_complete:
            return True
        if not self.unbroken or not self.completion.disks:
            return False
        sets = [self.completion.disks, *self.since]
        return all(self.disk in self.groups.find(disks, program) for disks in sets)

    def complete(self, view: View, uncopied: set[str]) -> bool:
        """Note that all other members but those of `uncopied` were copied under this view.

        Returns whether that is enough for a new completion. Members that went since the last
        one may have held what is nowhere else, and count as not copied.
        """
        if self.is_complete or view.generation != self.generation or not view.generation:
            return False
        members = {member.disk for member in view.members}
        gone = set(self.completion.disks).union(*self.since) - members - {self.disk}
        if len(uncopied | gone) > self.groups.tolerated_losses:
            return False
        self.completion = Completion(view.generation, list_active(view))
        self.since = []
        self.unbroken = True
        return True
