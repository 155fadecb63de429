"""Idempotent opening of programs, by the caller's idempotency key."""

from __future__ import annotations

from attrs import frozen

from egretford.codec import decode_bytes, encode_bytes, to_json
from egretford.errors import (
    ErrorKind,
    ObjectMissingError,
    RequestError,
    StoreUnavailableError,
    Verdict,
    VersionConflictError,
)
from egretford.models import OpenRequest
from egretford.platform.objects import Platform
from egretford.policy.history import hash_json

OPENING_PREFIX = "openings/"
RETRY_AFTER_SECONDS = 2.0
MAX_BIND_ATTEMPTS = 3


@frozen
class Opening:
    """The program that an idempotency key opened, and the hash of the request body."""

    program: str
    body: str


def opening_key(tenant: str, key: str) -> str:
    """Return the object key of a tenant's idempotency key."""
    return OPENING_PREFIX + hash_json(tenant, key)


class OpeningController:
    """Stores which program an idempotency key has opened."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def find(self, key: str, request: OpenRequest) -> tuple[str, int] | None:
        """Return the program of a key and the object's version; None for a new key.

        Raises CALL_CONFLICT if the key was used with another body, STORE_UNAVAILABLE if the
        store cannot be read.
        """
        try:
            stored = await self._platform.get(key)
        except ObjectMissingError:
            return None
        except StoreUnavailableError as error:
            raise _build_outage_error(Verdict.NOT_RUN) from error
        opening = decode_bytes(stored.value, Opening)
        if opening.body != hash_json(to_json(request)):
            raise RequestError(
                ErrorKind.CALL_CONFLICT,
                "this Idempotency-Key opened a program with another body; use a new key",
            )
        return opening.program, stored.version

    async def bind(self, key: str, request: OpenRequest, program: str, version: int | None) -> str:
        """Bind a key to a program; returns the program it is bound to.

        That is another program if a concurrent request has used the key first. Raises
        CALL_CONFLICT or STORE_UNAVAILABLE.
        """
        value = encode_bytes(Opening(program, hash_json(to_json(request))))
        for _ in range(MAX_BIND_ATTEMPTS):
            try:
                if version is None:
                    await self._platform.create(key, value)
                else:
                    await self._platform.update(key, value, version)
                return program
            except (VersionConflictError, ObjectMissingError):
                found = await self.find(key, request)
                if found is not None:
                    return found[0]
                version = None
            except StoreUnavailableError:
                continue
        raise _build_outage_error(Verdict.MAY_HAVE_RUN)

    async def forget(self, key: str) -> None:
        """Delete the binding of a dropped program; errors of the store are ignored."""
        try:
            await self._platform.delete(key)
        except (ObjectMissingError, StoreUnavailableError):
            return


def _build_outage_error(verdict: Verdict) -> RequestError:
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        "the store is out, so an opening cannot be tied to its key; send it again",
        verdict=verdict,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
