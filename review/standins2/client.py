"""A stand-in of a consumer: sends one request a channel and reads its answer."""

from __future__ import annotations

import asyncio
import itertools
import uuid
from dataclasses import dataclass, field

from review.standins2.wire import BrokenError, encode, read_body, read_chunks, read_head, reset

HOST = "farm.example"


@dataclass
class Answer:
    """What a consumer got; `status` is 0 if the channel ended without an answer."""

    id: str
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    events: int = 0
    whole: bool = False
    error: str = ""

    @property
    def served(self) -> bool:
        """Whether a whole success of a worker came."""
        return self.whole and 200 <= self.status < 300 and "response-signature" in self.fields


def new_id() -> str:
    """Return a new id for a request or a program."""
    return uuid.uuid4().hex[:16]


counter = itertools.count(1)


async def ask(
    address: str,
    target: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 3000,
    leave_after: float | None = None,
    request_id: str = "",
    **fields: str,
) -> Answer:
    """Send a request on a new channel; with `leave_after` the channel is closed so soon."""
    answer = Answer(request_id or new_id())
    head = {"Host": HOST, "Request-Id": answer.id, "Deadline-Ms": str(deadline_ms)}
    head |= {name.replace("_", "-"): value for name, value in fields.items()}
    ip, port = address.split(":")
    writer = None
    seconds = deadline_ms / 1000 + 0.5 if leave_after is None else leave_after
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=8_000_000)
            data = body if body or method != "GET" else None
            writer.write(encode(f"{method} {target} HTTP/1.1", head, data))
            message = await read_head(reader)
            if message is None:
                answer.error = "closed"
                return answer
            answer.status, answer.fields = message.status, message.fields
            if "chunked" in message.get("transfer-encoding"):
                async for data in read_chunks(reader):
                    answer.body += data
                    answer.events += data.count(b"\n\n")
            else:
                answer.body = await read_body(reader, message)
            answer.whole = True
    except (BrokenError, OSError) as error:
        answer.error = repr(error)
    except TimeoutError:
        answer.error = "no answer in time"
    finally:
        if writer is not None:
            reset(writer) if leave_after is not None else writer.close()
    return answer
