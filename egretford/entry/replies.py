"""Finds the response to a request among all that its worker sends on the connection."""

from __future__ import annotations

from collections.abc import Callable

from egretford.entry.models import WorkerReply
from egretford.http.bodies import BodyBudget, read_body
from egretford.http.client import ClientConnection, ResponseTooLargeError
from egretford.http.messages import ResponseHead
from egretford.platform.wire import decode_reply

# Number of responses to earlier requests that are skipped before one response. Connections are
# reused only after all their responses were read, so even one is rare.
MAX_STALE_RESPONSES = 8


async def read_own_head(
    connection: ClientConnection,
    request_id: str,
    limit: int,
    on_skipped: Callable[[WorkerReply], None],
    budget: BodyBudget | None = None,
) -> ResponseHead:
    """Return the head of the response to the request that was sent last; skips other responses.

    `request_id` is empty for a request without an id. Skipped bodies may have `limit` bytes
    together, bounded by `budget` as well. Raises BrokenResponseError.
    """
    for _ in range(MAX_STALE_RESPONSES + 1):
        head = await connection.read()
        reply = decode_reply(head)
        is_own = _is_own(reply, request_id, connection)
        if reply.request_id is None:
            connection.unnamed_statuses.add(reply.status)
        if is_own:
            return head
        on_skipped(reply)
        limit -= len(await read_body(connection, limit, budget=budget))
    message = f"over {MAX_STALE_RESPONSES} responses to earlier requests"
    raise ResponseTooLargeError(f"{connection.address}: {message}", received=True)


def _is_own(reply: WorkerReply, request_id: str, connection: ClientConnection) -> bool:
    """Whether a response belongs to the last of the requests on its connection.

    A worker may send any earlier response once more. So one that names no request counts only until
    a caller's request was answered, and not if a report on this connection was answered like it.
    """
    if reply.request_id is not None or not request_id:
        return (reply.request_id or "") == request_id
    return connection.forwarded_requests == 1 and reply.status not in connection.unnamed_statuses
