"""Decoders and encoders for the header fields of callers' requests and workers' responses."""

from __future__ import annotations

import re

import orjson

from egretford.entry.models import (
    CallerRequest,
    ProcessReport,
    PromptPart,
    Worker,
    WorkerLoad,
    WorkerReply,
)
from egretford.errors import ErrorKind, RequestError
from egretford.http.messages import (
    Headers,
    HttpRequest,
    ResponseHead,
    encode_head,
    strip_connection_fields,
)
from egretford.numbers import parse_whole_number

REQUEST_ID = b"Request-Id"
DEADLINE_MS = b"Deadline-Ms"  # a duration: how long the caller waits, not a point in time
EXPECT_WORKER = b"Expect-Instance"  # a worker id, not the id of a machine
NOT_EXECUTED = b"Not-Executed"
SIGNATURE = b"Response-Signature"
LOAD = b"Server-Load"
WORKER_ID = b"Instance-Id"  # a worker id, not the id of a machine
LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
PROGRAM = b"Program-Id"
SESSION = b"Session-Id"  # one sequence of turns; a program may have several
FINISH_MS = b"Finish-Ms"
TOKEN_BUDGET = b"Token-Budget"
TOKEN_USAGE = b"Token-Usage"  # two numbers: prompt tokens, maximum generated tokens
PROMPT_PARTS = b"Prompt-Prefix"  # all parts of the prompt, not only a shared prefix
PREVIOUS_TURN = b"Previous-Turn"  # the request id of the previous turn
LAST_EVENT_ID = b"Last-Event-Id"
WEIGHTS = b"Weight-Versions"  # one number; in lowercase also a field of events

# Fields that only this scheduler may send to workers; removed from callers' requests. Lower case.
RESERVED = frozenset(
    name.lower()
    for name in (
        EXPECT_WORKER,
        b"Expect-Version",
        b"Pin-Ms",
        b"Kv-Hold",
        b"Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
    )
)
STATE_REQUEST = b"GET /v1/report HTTP/1.1"  # to a worker; the response is JSON
# Statuses of workers that do not report their state.
_NO_STATE = frozenset({400, 404, 405, 501})
# Status by which a worker says that it did not run the request, as it is not the expected one.
MISDIRECTED = 421
_LEAVING_VALUE = "1"
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


def decode_request(http: HttpRequest) -> CallerRequest:
    """Decode a caller's request; raises RequestError naming the first malformed field."""
    headers = http.headers
    prompt_tokens, max_output = _read_usage(headers)
    return CallerRequest(
        id=headers.get_text(REQUEST_ID) or "",
        host=_read_host(headers),
        path=http.path.decode("latin-1"),
        http=http,
        time_budget=_read_seconds(headers, DEADLINE_MS),
        program=headers.get_text(PROGRAM) or "",
        session=headers.get_text(SESSION) or "",
        finish_within=_read_seconds(headers, FINISH_MS),
        token_budget=_read_number(headers, TOKEN_BUDGET),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output,
        prompt=_read_prompt(headers),
        previous_turn=headers.get_text(PREVIOUS_TURN) or None,
        resume_after=headers.get_text(LAST_EVENT_ID) or None,
    )


def encode_request(
    request: CallerRequest,
    worker: Worker,
    seconds_left: float,
    body: bytes,
    resume_after: str | None,
) -> bytes:
    """Return the bytes of the HTTP request that forwards `request` to `worker`.

    `seconds_left` becomes the deadline, at least 1 ms. `body` replaces the caller's body.
    `resume_after` is the id of the last event received, if a stream is resumed.
    """
    fields = strip_connection_fields(request.http.headers).drop(
        {*RESERVED, DEADLINE_MS.lower(), LAST_EVENT_ID.lower()}
    )
    fields.add(DEADLINE_MS, b"%d" % max(1, int(seconds_left * 1_000)))
    fields.add(EXPECT_WORKER, worker.id.encode("latin-1"))
    if resume_after is not None:
        fields.add(LAST_EVENT_ID, resume_after.encode("latin-1"))
    if body or request.http.method not in (b"GET", b"HEAD"):
        fields.add(b"Content-Length", b"%d" % len(body))
    line = b"%s %s HTTP/1.1" % (request.http.method, request.http.target)
    return encode_head(line, fields) + body


def encode_state_request(worker: Worker) -> bytes:
    """Return the bytes of the HTTP request for the state of a worker's process."""
    return encode_head(STATE_REQUEST, [(b"Host", worker.address.encode("latin-1"))])


def decode_process_report(head: ResponseHead, body: bytes) -> ProcessReport:
    """Decode a worker's response to a request for the state of its process."""
    if head.status != 200:
        return ProcessReport(is_usable=head.status in _NO_STATE)
    try:
        document = orjson.loads(body)
    except ValueError:
        return ProcessReport(is_usable=False)
    born = document.get("born") if isinstance(document, dict) else None
    return ProcessReport(is_usable=True, born=born if type(born) is int else None)


def decode_reply(head: ResponseHead) -> WorkerReply:
    """Decode the head of a worker's response; malformed fields count as absent."""
    headers = head.headers
    return WorkerReply(
        status=head.status,
        request_id=headers.get_text(REQUEST_ID),
        proves_not_run=headers.get(NOT_EXECUTED) is not None or head.status == MISDIRECTED,
        signature=headers.get(SIGNATURE),
        load=_read_load(headers),
        worker_id=headers.get_text(WORKER_ID),
        idle_limit=_read_idle_limit(headers),
        encoded=headers.get(b"Content-Encoding") is not None,
        leaving=headers.get_text(LEAVING) == _LEAVING_VALUE,
        media_type=_read_media_type(headers),
        fields=tuple(strip_connection_fields(headers)),
    )


def is_event_field(name: bytes, value: bytes) -> bool:
    """Whether a line of an event is a field of the platform's.

    At an event where the version of its weights changes, a worker names that.
    """
    return name == WEIGHTS.lower() and parse_whole_number(value) is not None


def encode_refusal_fields(request_id: str, retry_after: float | None) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an error response of the entry; `retry_after` in seconds."""
    fields = [(b"Content-Type", b"text/plain")]
    if request_id:
        fields.append((REQUEST_ID, request_id.encode("latin-1")))
    if retry_after is not None:
        fields.append((RETRY_AFTER, b"%.3f" % retry_after))
    return fields


def _read_host(headers: Headers) -> str:
    host = headers.get_text(b"Host") or ""
    return host.partition(":")[0].lower()


def _read_number(headers: Headers, name: bytes) -> int | None:
    text = headers.get_text(name)
    if text is None:
        return None
    number = parse_whole_number(text)
    if number is None:
        raise _malformed(name, "a whole number")
    return number


def _read_seconds(headers: Headers, name: bytes) -> float | None:
    milliseconds = _read_number(headers, name)
    return None if milliseconds is None else milliseconds / 1_000


def _read_usage(headers: Headers) -> tuple[int, int]:
    text = headers.get_text(TOKEN_USAGE)
    if text is None:
        return 0, 0
    numbers = [parse_whole_number(item.strip()) for item in text.split(",", 2)]
    match numbers:
        case [int(prompt), int(output)]:
            return prompt, output
        case _:
            raise _malformed(TOKEN_USAGE, "two whole numbers with a comma")


def _read_prompt(headers: Headers) -> tuple[PromptPart, ...]:
    text = headers.get_text(PROMPT_PARTS)
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        part, _, text = item.strip().partition(":")
        tokens = parse_whole_number(text)
        if not part or tokens is None:
            raise _malformed(PROMPT_PARTS, "ID:TOKENS entries with commas")
        parts.append(PromptPart(part, tokens))
    return tuple(parts)


def _malformed(name: bytes, expected: str) -> RequestError:
    return RequestError(ErrorKind.BAD_REQUEST, f"{name.decode()} must be {expected}")


def _read_load(headers: Headers) -> WorkerLoad | None:
    text = headers.get_text(LOAD)
    if text is None:
        return None
    numbers = [parse_whole_number(item.strip()) for item in text.split(",", 3)]
    if len(numbers) != 3 or None in numbers:
        return None
    return WorkerLoad(*numbers)


def _read_media_type(headers: Headers) -> str | None:
    text = headers.get_text(b"Content-Type")
    return None if text is None else text.partition(";")[0].strip().lower()


def _read_idle_limit(headers: Headers) -> float | None:
    found = _KEEP_ALIVE_TIMEOUT.search(headers.get(b"Keep-Alive") or b"")
    seconds = None if found is None else parse_whole_number(found.group(1))
    return None if seconds is None else float(seconds)
