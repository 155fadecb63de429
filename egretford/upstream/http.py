"""HTTP client for upstreams: OpenAI-style completions as event streams, and JSON services."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson
from aiohttp.http_exceptions import LineTooLong

from egretford.errors import (
    UpstreamError,
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamRejectedError,
)
from egretford.models import Usage, Worker
from egretford.settings import UpstreamSettings
from egretford.upstream.interface import (
    Finish,
    LoadReport,
    ModelDispatch,
    Order,
    Token,
    ToolDispatch,
)

# Time limit of a control request: load, orders, cancellation, release.
CONTROL_TIMEOUT_SECONDS = 1.0
# Resumptions of a stream before it counts as lost; each token lowers the count to at most one.
MAX_RESUMES = 3
# Maximum size of a tool's reply; far above what a segment of the journal should hold.
MAX_RESULT_BYTES = 8_388_608
# Maximum size of a reply to a control request; workers send some hundred bytes.
MAX_CONTROL_BYTES = 65_536
# Limits on reading the body of an error response; the status alone decides which error is raised.
MAX_ERROR_BYTES = 800
ERROR_TIMEOUT_SECONDS = 1.0
# Maximum length of a line in an event stream; an event is one line with one token.
MAX_LINE_BYTES = 524_288
# Maximum bytes of comments and blank lines between two events; a flood of them would keep an
# entry busy.
MAX_COMMENT_BYTES = 65_536
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
# Errors that do not indicate a crash: the worker is silent, or its response head is malformed.
_NO_CRASH_ERRORS = (asyncio.TimeoutError, aiohttp.ClientResponseError)


class HttpUpstream:
    """HTTP client for all workers; implements Upstream.

    Model calls share pooled connections. All other requests and resumed streams use a new
    connection each, so that a connection that has gone silent is never reused.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._pooled = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._unpooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    async def run_model(
        self, worker: Worker, dispatch: ModelDispatch
    ) -> AsyncIterator[Token | Finish]:
        """Stream a completion; resumes it on a new connection while the worker is alive."""
        index = dispatch.skip_tokens
        resumes = 0
        while True:
            try:
                async for event in self._open_stream(worker, dispatch, index, resumes > 0):
                    if isinstance(event, Token):
                        index = event.index + 1
                        resumes = min(resumes, 1)
                    yield event
                return
            except _NETWORK_ERRORS as error:
                resumes += 1
                await self._check_alive(worker, resumes, error)

    async def _open_stream(
        self, worker: Worker, dispatch: ModelDispatch, index: int, resumed: bool
    ) -> AsyncIterator[Token | Finish]:
        if resumed:
            url = f"{worker.address}/v1/streams/{dispatch.request_id}"
            request = self._unpooled.get(
                url, params={"from": str(index)}, timeout=self._stream_timeout()
            )
        else:
            url = f"{worker.address}/v1/chat/completions"
            body = orjson.dumps(_encode_completion(dispatch))
            request = self._pooled.post(url, data=body, timeout=self._stream_timeout())
        settings = self._settings
        try:
            async with asyncio.timeout(settings.connect + settings.silence):
                response = await request
        except aiohttp.ClientConnectorError as error:
            if resumed:
                raise UpstreamLostError(f"{worker.name}: {error}", crashed=True) from error
            raise UpstreamRefusedError(f"{worker.name}: {error}") from error
        async with response:
            await _check_status(worker, response, already_sent=resumed)
            async for event in _read_events(worker, response, settings.silence):
                yield event

    def _stream_timeout(self) -> aiohttp.ClientTimeout:
        settings = self._settings
        return aiohttp.ClientTimeout(
            total=None, sock_connect=settings.connect, sock_read=settings.silence
        )

    async def _check_alive(self, worker: Worker, resumes: int, error: BaseException) -> None:
        """Raise UpstreamLostError unless the worker is alive and resumptions are left."""
        if resumes > MAX_RESUMES:
            raise UpstreamLostError(
                f"{worker.name}: silent {resumes} times", crashed=False
            ) from error
        try:
            await self.read_load(worker)
        except UpstreamError as probe_error:
            crashed = not isinstance(error, _NO_CRASH_ERRORS)
            raise UpstreamLostError(f"{worker.name}: {error!r}", crashed=crashed) from probe_error

    async def run_tool(self, worker: Worker, dispatch: ToolDispatch, seconds: float) -> Any:
        """Run a tool call once within `seconds`, on a new connection."""
        body = {
            "program": dispatch.program,
            "call": dispatch.call,
            "messages": dispatch.messages,
            "repeatable": dispatch.repeatable,
        }
        headers = {"Idempotency-Key": f"{dispatch.program}/{dispatch.call}"}
        limits = aiohttp.ClientTimeout(total=seconds, sock_connect=self._settings.connect)
        try:
            async with self._unpooled.post(
                f"{worker.address}/call", data=orjson.dumps(body), headers=headers, timeout=limits
            ) as response:
                await _check_status(worker, response, already_sent=False)
                return orjson.loads(await _read_body(worker, response, MAX_RESULT_BYTES))["result"]
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamRefusedError(f"{worker.name}: {error}") from error
        except TimeoutError as error:
            raise UpstreamLostError(f"{worker.name}: no reply in time", crashed=False) from error
        except aiohttp.ClientResponseError as error:
            raise UpstreamLostError(f"{worker.name}: {error!r}", crashed=False) from error
        except (aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            raise UpstreamLostError(f"{worker.name}: {error!r}", crashed=True) from error

    async def cancel(self, worker: Worker, request_id: str) -> None:
        """Cancel a model call; errors are ignored."""
        try:
            await self._send_control("DELETE", worker, f"/v1/streams/{request_id}", None)
        except UpstreamError:
            return

    async def release(self, worker: Worker, program: str) -> None:
        """Free the memory that a worker holds for an ended program."""
        await self._send_control("POST", worker, "/release", {"program": program})

    async def read_load(self, worker: Worker) -> LoadReport:
        """Return the worker's load report; raises UpstreamError."""
        body = await self._send_control("GET", worker, "/load", None)
        try:
            return LoadReport(
                running=body["running"],
                waiting=body["waiting"],
                boot=str(body.get("boot", "")),
                leaving=bool(body.get("leaving", False)),
            )
        except (KeyError, TypeError) as error:
            raise UpstreamRefusedError(f"{worker.name}: malformed load {body!r}") from error

    async def read_orders(self, worker: Worker) -> dict[str, str]:
        """Return the orders in force at a worker, by kind."""
        return dict((await self._send_control("GET", worker, "/orders", None))["orders"])

    async def send_order(self, worker: Worker, order: Order) -> dict[str, str]:
        """Send an order; workers that check fencing numbers refuse one with an old number."""
        body = {"kind": order.kind, "value": order.value, "fencing": order.fencing}
        return (await self._send_control("POST", worker, "/orders", body))["orders"]

    async def _send_control(self, method: str, worker: Worker, path: str, body: Any) -> Any:
        data = None if body is None else orjson.dumps(body)
        limits = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._unpooled.request(
                method, worker.address + path, data=data, timeout=limits
            ) as response:
                await _check_status(worker, response, already_sent=False)
                return orjson.loads(await _read_body(worker, response, MAX_CONTROL_BYTES))
        except (*_NETWORK_ERRORS, ValueError) as error:
            raise UpstreamLostError(f"{worker.name}: {path}: {error!r}", crashed=False) from error


def _encode_completion(dispatch: ModelDispatch) -> dict[str, Any]:
    return {
        "model": dispatch.model,
        "messages": dispatch.messages,
        "max_tokens": dispatch.max_tokens,
        "stream": True,
        "request_id": dispatch.request_id,
        "program": dispatch.program,
        "skip_tokens": dispatch.skip_tokens,
    }


async def _read_body(worker: Worker, response: aiohttp.ClientResponse, limit: int) -> bytes:
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > limit:
            raise UpstreamLostError(f"{worker.name}: a reply over {limit} bytes", crashed=False)
    return bytes(body)


async def _check_status(
    worker: Worker, response: aiohttp.ClientResponse, *, already_sent: bool
) -> None:
    if 200 <= response.status < 300:
        return
    text = await _read_error(response)
    message = f"{worker.name}: status {response.status}: {text}"
    if already_sent:
        raise UpstreamLostError(message, crashed=False)
    match response.status:
        case 429 | 503:
            raise UpstreamRefusedError(message, leaving="leaving" in text)
        case 400 | 404 | 409 | 413 | 422:
            raise UpstreamRejectedError(message)
        case _:
            raise UpstreamLostError(message, crashed=False)


async def _read_error(response: aiohttp.ClientResponse) -> str:
    body = bytearray()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ERROR_TIMEOUT_SECONDS):
            while len(body) < MAX_ERROR_BYTES and (part := await response.content.readany()):
                body += part
    return body[:MAX_ERROR_BYTES].decode(errors="replace")[:200]


async def _read_events(
    worker: Worker, response: aiohttp.ClientResponse, silence: float
) -> AsyncIterator[Token | Finish]:
    finished = False
    while True:
        async with asyncio.timeout(silence):
            data = await _read_data(worker, response)
        if data == DONE:
            break
        event = _parse_event(orjson.loads(data))
        finished = finished or isinstance(event, Finish)
        yield event
    if not finished:
        raise aiohttp.ClientPayloadError("the stream ended before the answer did")


async def _read_data(worker: Worker, response: aiohttp.ClientResponse) -> bytes:
    """Return the data of the next event, skipping other lines; DONE if the stream has ended."""
    skipped_bytes = 0
    while skipped_bytes <= MAX_COMMENT_BYTES:
        try:
            line = await response.content.readline(max_line_length=MAX_LINE_BYTES)
        except LineTooLong as error:
            message = f"{worker.name}: a line over {MAX_LINE_BYTES} bytes"
            raise UpstreamLostError(message, crashed=False) from error
        if not line:
            return DONE
        if line.startswith(DATA_PREFIX):
            return line[len(DATA_PREFIX) :].strip()
        skipped_bytes += len(line)
    raise UpstreamLostError(
        f"{worker.name}: over {MAX_COMMENT_BYTES} bytes without an event", crashed=False
    )


def _parse_event(body: dict[str, Any]) -> Token | Finish:
    usage = body.get("usage")
    if usage is None:
        return Token(body["token"], body["choices"][0]["delta"]["content"])
    return Finish(
        Usage(
            prompt=usage["prompt_tokens"],
            cached=usage["cached_tokens"],
            completion=usage["completion_tokens"],
        )
    )
