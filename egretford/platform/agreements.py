"""The view of keepers and the operator's evacuation requests, as objects of the store."""

from __future__ import annotations

from typing import Any

from egretford.codec import from_json, to_json
from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.platform.documents import EVACUATION_DONE, EVACUATION_RUNNING, EVACUATIONS_KIND
from egretford.platform.store import Listing, MetadataStore, StoreObject
from egretford.policy.views import View

VIEW_KIND = "keeper-views"
VIEW_NAME = "current"
MAX_STATUS_TRIES = 5


class StoredView:
    """The newest view, in an object of a kind of the project's own."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def read(self) -> tuple[View, int | None]:
        """Return the newest view and its revision, or an empty one if there is none yet."""
        try:
            found = await self._store.get(VIEW_KIND, VIEW_NAME)
        except ObjectMissingError:
            return View(), None
        return decode_view(found), found.revision

    async def replace(self, view: View, revision: int | None) -> None:
        """Replace the view that has `revision`; raises VersionConflictError."""
        if revision is None:
            await self._store.create(VIEW_KIND, VIEW_NAME, to_json(view))
        else:
            await self._store.replace(VIEW_KIND, VIEW_NAME, to_json(view), revision)


def decode_view(item: StoreObject) -> View:
    """Decode a view; raises StoreUnavailableError where the object holds none."""
    try:
        # JSON has no tuples.
        return from_json(item.content, View)
    except Exception as error:
        raise StoreUnavailableError(f"the view in the store cannot be read: {error!r}") from error


class StoredEvacuations:
    """The operator's requests to empty instances; a handler of their feed."""

    def __init__(self, store: MetadataStore, log: Any) -> None:
        self._store = store
        self._log = log
        self._items: dict[str, StoreObject] = {}
        self.is_known = False

    def replace_all(self, listing: Listing) -> None:
        """Take all requests."""
        self._items = dict(listing.objects)
        self.is_known = True

    def change(self, item: StoreObject, removed: bool) -> None:
        """Take a change of one request."""
        if removed:
            self._items.pop(item.name, None)
        else:
            self._items[item.name] = item
            self._log.info("an instance is to be emptied", target=item.name, state=item.status)

    def find(self, instance: str) -> str | None:
        """Return the state of a request for an instance: '', 'running', 'done', or None."""
        item = self._items.get(instance)
        if item is None:
            return None
        status = item.status if isinstance(item.status, dict) else {}
        names = {EVACUATION_RUNNING: "running", EVACUATION_DONE: "done"}
        return names.get(status.get("phase"), "")

    async def note_running(self, instance: str) -> None:
        """Tell that the instance is being emptied."""
        await self._write(instance, EVACUATION_RUNNING)

    async def note_done(self, instance: str) -> None:
        """Tell that the instance may be removed."""
        await self._write(instance, EVACUATION_DONE)

    async def _write(self, instance: str, phase: str) -> None:
        for _ in range(MAX_STATUS_TRIES):
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
        raise StoreUnavailableError(f"the status of {instance} keeps changing")
