"""Bounds what the connections of one server hold together."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import Factory, define

from egretford.http.limits import ServerCapacity


class Occupant(Protocol):
    """A connection of the server; sizes in bytes."""

    is_handling: bool
    pending_bytes: int
    unread_bytes: int
    sent_bytes: int

    def shed(self) -> None:
        """Give up the requests that are read or wait, and answer that they have not run."""

    def abort(self) -> None:
        """Close immediately."""


@define
class _Unread:
    """What was left of a connection's responses when last seen, and what had been sent by then."""

    size: int
    sent: int


@define(eq=False)
class Occupancy:
    """The open connections, the longest without a request to be handled first."""

    capacity: ServerCapacity
    log: Any
    _held: dict[Occupant, int] = Factory(dict)
    _total: int = 0
    # Connections with responses that their callers have not read, the longest stalled first.
    _unread: dict[Occupant, _Unread] = Factory(dict)
    _unread_total: int = 0

    def __iter__(self):
        return iter(tuple(self._held))

    def __len__(self) -> int:
        return len(self._held)

    def add(self, connection: Occupant) -> None:
        """Add a connection; beyond the capacity, one that waits for its caller is closed."""
        if len(self._held) >= self.capacity.connections:
            waiting = (found for found in self._held if not found.is_handling)
            closed = next(waiting, connection)
            self.log.info("closed a connection, as there are too many", open=len(self._held))
            closed.abort()
            if closed is connection:
                return
            self.discard(closed)
        self._held[connection] = 0

    def discard(self, connection: Occupant) -> None:
        """Remove a connection that is closed."""
        self._total -= self._held.pop(connection, 0)
        self._forget_unread(connection)

    def record_use(self, connection: Occupant) -> None:
        """Move a connection behind all others, as a request of it is handled."""
        if connection in self._held:
            self._held[connection] = self._held.pop(connection)

    def update(self, connection: Occupant, held: int) -> None:
        """Set what the requests of a connection hold; too much is given up, the largest first."""
        if connection not in self._held:
            return
        self._total += held - self._held[connection]
        self._held[connection] = held
        while self._total > self.capacity.held_bytes:
            largest = max(self._held, key=lambda found: found.pending_bytes)
            if not largest.pending_bytes:
                return
            self.log.info("gave up a request, as all hold too much", held=self._total)
            largest.shed()

    def record_unread(self, connection: Occupant) -> None:
        """Note that a response is not all sent; beyond the capacity, close the longest stalled."""
        if connection not in self._held:
            return
        self._look_at_unread(connection)
        if self._unread_total > self.capacity.unread_bytes:
            for found in tuple(self._unread):
                self._look_at_unread(found)
        while self._unread_total > self.capacity.unread_bytes:
            stalled = next(iter(self._unread))
            self.log.info(
                "closed a connection, as its caller does not read", unread=self._unread_total
            )
            stalled.abort()
            self.discard(stalled)

    def _look_at_unread(self, connection: Occupant) -> None:
        """Update what a connection has not sent; one that has sent something goes to the end."""
        last = self._unread.get(connection)
        size, sent = connection.unread_bytes, connection.sent_bytes
        if last is None or not size or sent > last.sent:
            self._forget_unread(connection)
            last = _Unread(0, sent)
        if size:
            self._unread_total += size - last.size
            last.size = size
            self._unread[connection] = last

    def _forget_unread(self, connection: Occupant) -> None:
        last = self._unread.pop(connection, None)
        self._unread_total -= 0 if last is None else last.size
