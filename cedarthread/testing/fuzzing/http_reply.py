"""A minimal parser of HTTP/1.1 responses for callers of the invoke API."""

from __future__ import annotations

import re
from typing import NamedTuple

from cedarthread.testing.fuzzing.finding import Finding

_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n")


class Reply(NamedTuple):
    """A response, with the names of its header fields in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes


class ParsedReply(NamedTuple):
    """A response, and the position of its end in the data."""

    reply: Reply
    end: int


def read_reply(data: bytes) -> ParsedReply | None:
    """Return the response at the start of the data, or None while it is incomplete.

    Raises:
        Finding: The data does not begin with an HTTP/1.1 status line.
    """
    if b"\r\n\r\n" not in data:
        return None
    head, _, rest = data.partition(b"\r\n\r\n")
    status_line = _STATUS_LINE.match(head + b"\r\n")
    if status_line is None:
        raise Finding(f"response does not begin with an HTTP/1.1 status line: {head[:40]!r}")
    pairs = [line.partition(": ") for line in head.decode("latin-1").split("\r\n")[1:]]
    fields = {name.lower(): value for name, _, value in pairs}
    status = int(status_line[1])
    length = int(fields.get("content-length", "0"))
    if len(rest) < length:
        return None
    return ParsedReply(Reply(status, fields, rest[:length]), len(head) + 4 + length)
