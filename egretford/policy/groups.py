"""Replica groups: which keepers store a program's charges, and when a new member may answer.

A program's group has 2 * tolerated_losses + 1 of the active members, chosen by rendezvous hash,
so that a keeper's share of the load shrinks as keepers are added. A change of the active members
replaces at most one member of each group. The new member answers for the program once it has
copied from enough others that each charge is on at least one of them; the other members keep
answering meanwhile.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import Factory, define, frozen

from egretford.policy.membership import rank_by_hash
from egretford.policy.views import MemberState, View

# Sets of active disks whose groups are cached: those of the newest views.
MAX_CACHED_SETS = 4
# Programs cached per set of disks; above this limit the set's cache is emptied.
MAX_CACHED_PROGRAMS = 20_000


def choose_group(disks: Iterable[str], program: str, tolerated_losses: int) -> tuple[str, ...]:
    """Return which of `disks`, the active ones, store a program's charges."""
    return tuple(rank_by_hash(program, disks)[: 2 * tolerated_losses + 1])


@define
class GroupCache:
    """Caches the groups of programs for the few sets of active disks in use."""

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
    """Return the disks of the active members, sorted."""
    return tuple(sorted(member.disk for member in view.active))


def list_active_after_join(view: View, disk: str) -> tuple[str, ...]:
    """Return the active disks, sorted, as they will be once the member with `disk` is active.

    The member's former disk, if it is still active, is then replaced.
    """
    joining = view.find(disk)
    if joining is None or joining.state is not MemberState.JOINING:
        return list_active(view)
    others = (member.disk for member in view.active if member.name != joining.name)
    return tuple(sorted([*others, disk]))


def count_group_quorum(size: int, tolerated_losses: int) -> int:
    """Return how many members of a group of `size` must have a charge on disk."""
    return max(tolerated_losses + 1, size // 2 + 1)


def only_completes_groups(view: View, following: View, tolerated_losses: int) -> bool:
    """Whether the change between two views takes no member from any group.

    So it is while a deployment's first members join, until they are as many as a group has.
    """
    before = {member.disk for member in view.active}
    after = {member.disk for member in following.active}
    return before == after or (before < after and len(after) <= 2 * tolerated_losses + 1)


@frozen
class Completion:
    """The active disks of the view under which a keeper last had copied all its charges."""

    generation: int = 0
    disks: tuple[str, ...] = ()


@define
class GroupCoverage:
    """Tracks for which programs one keeper is certain to have every committed charge.

    `later_disks` lists the active disks of each generation after the completion.
    `has_all_generations` is false once a generation is missing from that list. `forgotten` has the
    dropped disks whose records are past their retention, as seen since the last restart.
    """

    disk: str
    groups: GroupCache
    completion: Completion = Completion()
    generation: int = 0
    later_disks: list[tuple[str, ...]] = Factory(list)
    has_all_generations: bool = True
    forgotten: set[str] = Factory(set)
    _dropped: frozenset[str] = frozenset()

    def adopt(self, view: View) -> None:
        """Apply a newer view; one of the current generation only changes the forgotten disks."""
        members = {member.disk for member in view.members}
        self.forgotten |= self._dropped - set(view.dropped) - members
        self.forgotten -= members
        self._dropped = frozenset(view.dropped)
        if view.generation == self.generation:
            return
        if view.generation != self.generation + 1:
            self.has_all_generations = False
        self.generation = view.generation
        self.later_disks.append(list_active(view))

    def restore(self, completion: Completion, view: View) -> None:
        """Restore the completion and the view that were on disk before a restart."""
        self.completion = completion
        self.generation = view.generation
        self._dropped = frozenset(view.dropped)
        self.has_all_generations = completion.generation == view.generation
        self.later_disks = [] if self.has_all_generations else [list_active(view)]

    @property
    def is_complete(self) -> bool:
        """Whether all charges have been copied under the newest generation."""
        return self.completion.generation == self.generation > 0

    def has_all_charges(self, program: str) -> bool:
        """Whether this keeper is certain to have all of a program's charges."""
        if self.is_complete:
            return True
        if not self.has_all_generations or not self.completion.disks:
            return False
        sets = [self.completion.disks, *self.later_disks]
        return all(self.disk in self.groups.find(disks, program) for disks in sets)

    def find_removed(self, view: View) -> set[str]:
        """Return the removed disks that may have records which no member has.

        These were active at or after the completion, and are not forgotten.
        """
        members = {member.disk for member in view.members}
        active = set(self.completion.disks).union(*self.later_disks)
        return active - members - self.forgotten - {self.disk}

    def record_copied(
        self, view: View, uncopied: set[str], complete: frozenset[str] = frozenset()
    ) -> bool:
        """Record that all other members except `uncopied` were copied under this view.

        `complete` has the active members that were copied after they were complete under this
        generation. Returns whether that makes a new completion. Members removed since the last
        one may have had charges that no other member has, so they count as not copied, unless
        each group has another member that is complete.
        """
        if self.is_complete or view.generation != self.generation or not view.generation:
            return False
        is_covered = len(uncopied | self.find_removed(view)) <= self.groups.tolerated_losses
        if not is_covered and not self._has_complete_peers(view, complete):
            return False
        self.completion = Completion(view.generation, list_active(view))
        self.later_disks = []
        self.has_all_generations = True
        return True

    def _has_complete_peers(self, view: View, complete: frozenset[str]) -> bool:
        """Whether at least one of `complete` is in each group that this keeper may be in."""
        active = {member.disk for member in view.active}
        group_size = min(2 * self.groups.tolerated_losses + 1, len(active))
        return len(active - complete - {self.disk}) < group_size - 1
