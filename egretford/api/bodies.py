"""Reads request bodies and builds responses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, TypeVar

import orjson
from blacksheep import Content, Request, Response, StreamedContent

from egretford.codec import explain_error, from_json, to_json
from egretford.errors import HTTP_STATUS, ErrorKind, RequestError

T = TypeVar("T")

JSON_TYPE = b"application/json"
SSE_TYPE = b"text/event-stream"


async def read_body(request: Request, limit: int) -> Any:
    """Read a JSON body of at most `limit` bytes; raises TOO_LARGE or BAD_REQUEST."""
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > limit:
            raise RequestError(ErrorKind.TOO_LARGE, f"the body is over {limit} bytes")
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"the body is not JSON: {error}") from error


def parse_body(raw: Any, kind: type[T]) -> T:
    """Convert JSON to `kind`; raises BAD_REQUEST that names each invalid field."""
    try:
        return from_json(raw, kind)
    except Exception as error:
        problems = "; ".join(f"{path}: {what}" for path, what in explain_error(error))
        raise RequestError(ErrorKind.BAD_REQUEST, problems) from error


def read_header(request: Request, name: bytes) -> str | None:
    """Return the first header of this name as text, None if it is missing."""
    value = request.get_first_header(name)
    return value.decode("latin-1") if value is not None else None


def write_json(status: int, body: Any) -> Response:
    """Build a JSON response from attrs values or plain JSON."""
    return Response(status, content=Content(JSON_TYPE, orjson.dumps(to_json(body))))


def describe_error(error: RequestError) -> dict[str, Any]:
    """Build the JSON body of an error response."""
    detail: dict[str, Any] = {"kind": error.kind.value, "message": error.message}
    if error.retry_after_seconds is not None:
        detail["retry_after_seconds"] = error.retry_after_seconds
    if error.last_shared_call is not None:
        detail["last_shared_call"] = error.last_shared_call
    return {"verdict": error.verdict.value, "error": detail}


def write_error(error: RequestError) -> Response:
    """Build an error response; sets Retry-After if the error has a delay."""
    response = write_json(HTTP_STATUS[error.kind], describe_error(error))
    if error.retry_after_seconds is not None:
        response.add_header(b"Retry-After", str(max(1, round(error.retry_after_seconds))).encode())
    return response


def stream_events(events: AsyncIterator[bytes]) -> Response:
    """Build a streamed response of encoded server-sent events."""

    async def write() -> AsyncIterator[bytes]:
        async for event in events:
            yield event

    return Response(200, content=StreamedContent(SSE_TYPE, write))


def write_event(name: str, body: Any) -> bytes:
    """Encode one named server-sent event with a JSON body."""
    return b"event: " + name.encode() + b"\ndata: " + orjson.dumps(to_json(body)) + b"\n\n"


def write_data(body: Any) -> bytes:
    """Encode one unnamed server-sent event, as OpenAI-compatible clients expect."""
    return b"data: " + orjson.dumps(to_json(body)) + b"\n\n"
