"""What the connections of one server hold together."""

from __future__ import annotations

from attrs import define

from egretford.http.limits import ServerCapacity
from egretford.http.occupancy import Occupancy
from tests.platform.standins import NullLog


@define(eq=False)
class StandinConnection:
    """A connection whose caller has read `sent_bytes`, and `unread_bytes` not yet."""

    unread_bytes: int = 0
    sent_bytes: int = 0
    is_handling: bool = False
    pending_bytes: int = 0
    is_aborted: bool = False

    def abort(self) -> None:
        self.is_aborted = True


def make_occupancy(*connections: StandinConnection) -> Occupancy:
    occupancy = Occupancy(ServerCapacity(connections=8, unread_bytes=100), NullLog())
    for connection in connections:
        occupancy.add(connection)
        occupancy.record_unread(connection)
    return occupancy


# Guards against responses that no caller reads and that add up to more than the process has.
def test_the_caller_that_has_read_nothing_for_longest_is_closed():
    reading, stalled, last = (StandinConnection(40) for _ in range(3))
    occupancy = make_occupancy(reading, stalled)
    reading.sent_bytes = 10
    occupancy.add(last)
    occupancy.record_unread(last)
    assert [c.is_aborted for c in (reading, stalled, last)] == [False, True, False]
    assert list(occupancy) == [reading, last]


# Guards against callers that are closed for responses which they have read by now.
def test_responses_that_were_read_count_no_longer():
    first, second, third = (StandinConnection(60) for _ in range(3))
    occupancy = make_occupancy(first)
    first.unread_bytes, first.sent_bytes = 0, 60
    for connection in (second, third):
        occupancy.add(connection)
        connection.unread_bytes = 50
        occupancy.record_unread(connection)
    assert not any(c.is_aborted for c in (first, second, third))


# Guards against a sum that still has what a closed connection left unread.
def test_a_closed_connection_leaves_room():
    first, second = StandinConnection(90), StandinConnection(90)
    occupancy = make_occupancy(first)
    occupancy.discard(first)
    occupancy.add(second)
    occupancy.record_unread(second)
    assert not second.is_aborted
