"""HTTP/1.1 messages (RFC 9110, RFC 9112), the server's side. A parse ends in a value, never an exception."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

HEAD = 8 * 1024
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_TARGET = re.compile(rb"[\x21-\x7e]+\Z")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
_VERSION = re.compile(rb"HTTP/\d\.\d\Z")
REASONS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a request."""

    method: str
    target: str
    fields: dict[str, str]  # names in lower case; repeated ones joined by commas
    length: int  # of the body
    size: int  # of the head itself
    keep_alive: bool

    def preferences(self) -> dict[str, str]:
        """What ``Prefer`` asks for (RFC 7240)."""
        found: dict[str, str] = {}
        for part in self.fields.get("prefer", "").split(","):
            name, _, value = part.split(";")[0].partition("=")
            found.setdefault(name.strip().lower(), value.strip().strip('"'))
        return found


@dataclass(frozen=True, slots=True)
class Short:
    """The head is not whole yet."""


@dataclass(frozen=True, slots=True)
class Bad:
    """No request that can be served; the connection ends with this answer."""

    status: int
    why: str


def parse(data: memoryview, most_body: int) -> Head | Short | Bad:
    """The head at the start of the data."""
    raw = bytes(data[:HEAD])
    end = raw.find(b"\r\n\r\n")
    if end < 0:
        return Bad(431, "the head is too long") if len(data) >= HEAD else Short()
    lines = raw[:end].split(b"\r\n")
    start = lines[0].split(b" ")
    if len(start) != 3 or not _TOKEN.match(start[0]) or not _TARGET.match(start[1]):
        return Bad(400, "the request line is malformed")
    if not _VERSION.match(start[2]):
        return Bad(400, "the version is malformed")
    if start[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        return Bad(505, "HTTP/1.1 is spoken here")
    fields = _fields(lines[1:])
    if isinstance(fields, Bad):
        return fields
    length = _length(fields, most_body)
    if isinstance(length, Bad):
        return length
    latest = start[2] == b"HTTP/1.1"
    if latest and (not fields.get("host") or "," in fields["host"]):
        return Bad(400, "one Host field is needed")
    if fields.get("expect", "100-continue").lower() != "100-continue":
        return Bad(417, "no such expectation is met here")
    options = [option.strip().lower() for option in fields.get("connection", "").split(",")]
    keep = latest and "close" not in options
    return Head(start[0].decode(), start[1].decode(), fields, length, end + 4, keep)


def _fields(lines: list[bytes]) -> dict[str, str] | Bad:
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
            return Bad(400, "a header field is malformed")
        key, text = name.decode().lower(), value.decode("latin-1")
        fields[key] = f"{fields[key]}, {text}" if key in fields else text
    return fields


def _length(fields: dict[str, str], most: int) -> int | Bad:
    if "transfer-encoding" in fields:
        if "content-length" in fields:
            return Bad(400, "Transfer-Encoding and Content-Length together")
        return Bad(411, "send the body with Content-Length")
    text = fields.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        return Bad(400, "Content-Length is malformed")
    if len(text) > 12 or int(text) > most:
        return Bad(413, f"a body has at most {most} bytes")
    return int(text)


@dataclass(frozen=True, slots=True)
class Response:
    """A response."""

    status: int
    fields: dict[str, str]
    body: bytes = b""

    def pack(self, *, keep_alive: bool) -> bytes:
        """Its bytes."""
        lines = [f"HTTP/1.1 {self.status} {REASONS[self.status]}"]
        lines += [f"{name}: {value}" for name, value in self.fields.items()]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


def problem(status: int, detail: str, fields: dict[str, str] | None = None, **more: object) -> Response:
    """A problem in the form of RFC 9457; its type is the status alone."""
    told = {"type": "about:blank", "title": REASONS[status], "status": status, "detail": detail} | more
    head = {"Content-Type": "application/problem+json", "Cache-Control": "no-store"}
    return Response(status, head | (fields or {}), json.dumps(told).encode())
