"""The interface to other entries."""

from __future__ import annotations

from typing import Any, Protocol


class Peers(Protocol):
    """Asks other entries; messages are those of `egretford.peer.messages`."""

    async def ask(self, address: str, message: Any, seconds: float) -> Any:
        """Send a request and return the reply.

        Raises the RequestError that the peer answered, or PeerUnreachableError when no
        reply came; the peer may then have taken the request.
        """

    def keep_only(self, addresses: set[str]) -> None:
        """Close connections to peers that are gone."""
