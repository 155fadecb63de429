"""Header fields, requests, response heads and their encoding."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import Factory, define, field, frozen

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    402: b"Payment Required",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@define
class Headers:
    """Header fields in the order received; names are compared case-insensitively."""

    fields: list[tuple[bytes, bytes]] = Factory(list)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self.fields)

    def add(self, name: bytes, value: bytes) -> None:
        """Append a field; fields with the same name stay."""
        self.fields.append((name, value))

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None."""
        wanted = name.lower()
        for key, value in self.fields:
            if key.lower() == wanted:
                return value
        return None

    def get_text(self, name: bytes) -> str | None:
        """Return the first value of a field as stripped Latin-1 text, or None."""
        value = self.get(name)
        return None if value is None else value.decode("latin-1").strip()

    def list_all(self, name: bytes) -> list[bytes]:
        """Return all values of a field, in the order received."""
        wanted = name.lower()
        return [value for key, value in self.fields if key.lower() == wanted]

    def list_tokens(self, name: bytes) -> list[bytes]:
        """Return the comma-separated tokens of a field, in lower case."""
        joined = b",".join(self.list_all(name))
        return [token.strip().lower() for token in joined.split(b",") if token.strip()]

    def drop(self, names: Iterable[bytes]) -> Headers:
        """Return a copy without the given fields; `names` must be in lower case."""
        dropped = frozenset(names)
        return Headers([pair for pair in self.fields if pair[0].lower() not in dropped])


@frozen
class HttpRequest:
    """A complete request.

    `target` is the path with its query as sent, `received_at` a time of the monotonic clock, and
    `peer` the IP address of the caller.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = field(repr=False)
    keep_alive: bool
    received_at: float
    peer: str = ""

    @property
    def path(self) -> bytes:
        """The target without its query, still percent-encoded."""
        return self.target.partition(b"?")[0]


@frozen
class ResponseHead:
    """Status and header fields of a response, without its body."""

    status: int
    headers: Headers


def encode_head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return an encoded message head, including the blank line that ends it."""
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_status_line(status: int) -> bytes:
    """Return the status line of a response, without its line end."""
    return b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Status"))


def encode_chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"

# Fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def strip_connection_fields(headers: Headers) -> Headers:
    """Return the fields that may be forwarded: without framing and hop-by-hop fields.

    Fields listed in Connection are hop-by-hop too.
    """
    listed = headers.list_tokens(b"connection")
    return headers.drop({*HOP_BY_HOP, *listed, b"content-length", b"expect"})
