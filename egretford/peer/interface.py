"""The interface of the peer clients."""

from __future__ import annotations

from typing import Any, Protocol


class Peers(Protocol):
    """Sends requests to other instances.

    Messages are those of `egretford.peer.messages` or, to keepers, `egretford.keeper.messages`.
    """

    async def ask(self, address: str, message: Any, seconds: float) -> Any:
        """Send a request and return the reply, with a timeout in `seconds`.

        Raises the RequestError that the peer replied with, or PeerUnreachableError if there was
        no valid reply; the peer may have processed the request even so.
        """

    def keep_only(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
