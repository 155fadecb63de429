"""The keeper view and the operator's evacuation requests, stored as objects."""

from __future__ import annotations

from typing import Any

from egretford.codec import from_json, to_json
from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.platform.documents import EVACUATION_DONE, EVACUATION_RUNNING, EVACUATIONS_KIND
from egretford.platform.store import Listing, MetadataStore, StoreObject
from egretford.policy.views import View

VIEW_KIND = "keeper-views"
VIEW_NAME = "current"
# Write attempts for one status while other writers change the same object.
MAX_STATUS_ATTEMPTS = 5


class StoredView:
    """The newest view, stored as one object of a kind that only this project uses."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def read(self) -> tuple[View, int | None]:
        """Return the newest view and its revision, or an empty view and None if none is stored.

        Raises StoreUnavailableError.
        """
        try:
            found = await self._store.get(VIEW_KIND, VIEW_NAME)
        except ObjectMissingError:
            return View(), None
        return decode_view(found), found.revision

    async def replace(self, view: View, revision: int | None) -> None:
        """Replace the view that has `revision`, or create it if `revision` is None.

        Raises VersionConflictError if the stored view has another revision or already exists.
        """
        if revision is None:
            await self._store.create(VIEW_KIND, VIEW_NAME, to_json(view))
        else:
            await self._store.replace(VIEW_KIND, VIEW_NAME, to_json(view), revision)


def decode_view(item: StoreObject) -> View:
    """Decode a stored view; raises StoreUnavailableError if the object is malformed."""
    try:
        # JSON has no tuples; from_json converts arrays to the types that View declares.
        return from_json(item.content, View)
    except Exception as error:
        raise StoreUnavailableError(f"the view in the store cannot be read: {error!r}") from error


class StoredEvacuations:
    """The operator's requests to evacuate instances; implements ObjectHandler for their feed."""

    def __init__(self, store: MetadataStore, log: Any) -> None:
        self._store = store
        self._log = log
        self._items: dict[str, StoreObject] = {}
        self.is_loaded = False

    def replace_all(self, listing: Listing) -> None:
        """Replace the known requests by those in a listing."""
        self._items = dict(listing.objects)
        self.is_loaded = True

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        """Store or delete the local copy of one request."""
        if removed:
            self._items.pop(item.name, None)
        else:
            self._items[item.name] = item
            self._log.info("an evacuation request changed", target=item.name, state=item.status)

    def find(self, instance: str) -> str | None:
        """Return the state of the request for an instance.

        The state is 'running' or 'done', '' if neither has been recorded, and None if there is
        no request.
        """
        item = self._items.get(instance)
        if item is None:
            return None
        status = item.status if isinstance(item.status, dict) else {}
        states = {EVACUATION_RUNNING: "running", EVACUATION_DONE: "done"}
        phase = status.get("phase")
        return states.get(phase, "") if isinstance(phase, str) else ""

    async def mark_running(self, instance: str) -> None:
        """Set the phase of the request to running.

        Raises StoreUnavailableError, or ObjectMissingError if the request was deleted.
        """
        await self._write_phase(instance, EVACUATION_RUNNING)

    async def mark_done(self, instance: str) -> None:
        """Set the phase of the request to completed: the instance may now be removed.

        Raises StoreUnavailableError, or ObjectMissingError if the request was deleted.
        """
        await self._write_phase(instance, EVACUATION_DONE)

    async def _write_phase(self, instance: str, phase: str) -> None:
        for _ in range(MAX_STATUS_ATTEMPTS):
            item = await self._store.get(EVACUATIONS_KIND, instance)
            if isinstance(item.status, dict) and item.status.get("phase") == phase:
                self._items[instance] = item
                return
            try:
                self._items[instance] = await self._store.replace_status(
                    EVACUATIONS_KIND, instance, {"phase": phase}, item.revision
                )
                return
            except VersionConflictError:
                continue
        raise StoreUnavailableError(f"status of {instance} not written: concurrent changes")
