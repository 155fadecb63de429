"""Which turns of a keeper were renewed, so that the other keepers that hold them renew them too.

A turn lives as long as the newest turn after it, wherever that one is stored. A keeper that stores
or reads a turn renews the part of its chain that it holds, and others learn of that from here. The
part ends where the keeper lacks a turn; the id of that turn is listed as well, as its holders know
the part before it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from attrs import Factory, define, frozen

# A turn is listed again once its expiry has moved by so many seconds; many turns may follow each
# other within a second.
RENEWAL_STEP_SECONDS = 5.0
# The same for what another keeper reported: its reports come in steps already.
RELAYED_STEP_SECONDS = 1.0


@frozen
class Renewal:
    """A turn that must be kept until `expires_at`, in monotonic seconds."""

    position: int
    turn_id: str
    expires_at: float


@define
class RenewalList:
    """The renewed turns, each once, in the order of their last renewal.

    `_announced` has the expiry that other keepers know of a turn without a renewal.
    """

    position: int = 0
    _renewals: OrderedDict[str, Renewal] = Factory(OrderedDict)
    _announced: dict[str, float] = Factory(dict)

    def note_announced(self, turn_id: str, expires_at: float) -> None:
        """Note that all keepers of a turn received it just now, and when it expires for them."""
        self._announced[turn_id] = expires_at

    def add(self, turn_id: str, expires_at: float, step: float = RENEWAL_STEP_SECONDS) -> None:
        """List a turn with its new expiry, unless others know of one less than `step` before."""
        if expires_at - self._find_announced(turn_id) < step:
            return
        self._announced.pop(turn_id, None)
        self.position += 1
        self._renewals[turn_id] = Renewal(self.position, turn_id, expires_at)
        self._renewals.move_to_end(turn_id)

    def _find_announced(self, turn_id: str) -> float:
        renewal = self._renewals.get(turn_id)
        if renewal is not None:
            return renewal.expires_at
        return self._announced.get(turn_id, -math.inf)

    def list_after(self, position: int) -> Iterator[Renewal]:
        """Yield the renewals after a position, oldest first."""
        newer = []
        for renewal in reversed(self._renewals.values()):
            if renewal.position <= position:
                break
            newer.append(renewal)
        return reversed(newer)

    def expire(self, now: float) -> None:
        """Forget the turns that have expired."""
        for turn_id in [t for t, until in self._announced.items() if until <= now]:
            del self._announced[turn_id]
        for turn_id in [t for t, r in self._renewals.items() if r.expires_at <= now]:
            del self._renewals[turn_id]

    def __len__(self) -> int:
        return len(self._renewals)
