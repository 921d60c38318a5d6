"""HTTP/1.1 messages (RFC 9110, RFC 9112), the server's side. A parse ends in a value, never an exception."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

MAX_HEAD_BYTES = 8 * 1024
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_TARGET = re.compile(rb"[\x21-\x7e]+\Z")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
_VERSION = re.compile(rb"HTTP/\d\.\d\Z")
REASON_PHRASES = {
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
class RequestHead:
    """The head of a request."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case; repeated ones joined by commas
    content_length: int  # of the body
    head_bytes: int  # of the head itself
    keep_alive: bool

    def preferences(self) -> dict[str, str]:
        """What ``Prefer`` asks for (RFC 7240)."""
        found: dict[str, str] = {}
        for part in self.headers.get("prefer", "").split(","):
            name, _, value = part.split(";")[0].partition("=")
            found.setdefault(name.strip().lower(), value.strip().strip('"'))
        return found


@dataclass(frozen=True, slots=True)
class IncompleteHead:
    """The head is not whole yet."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """No request that can be served; the connection ends with this answer."""

    status: int
    reason: str


def parse_head(data: memoryview, max_body_bytes: int) -> RequestHead | IncompleteHead | InvalidRequest:
    """The head at the start of the data."""
    raw = bytes(data[:MAX_HEAD_BYTES])
    end = raw.find(b"\r\n\r\n")
    if end < 0:
        return (
            InvalidRequest(431, "the head is too long") if len(data) >= MAX_HEAD_BYTES else IncompleteHead()
        )
    lines = raw[:end].split(b"\r\n")
    start = lines[0].split(b" ")
    if len(start) != 3 or not _TOKEN.match(start[0]) or not _TARGET.match(start[1]):
        return InvalidRequest(400, "the request line is malformed")
    if not _VERSION.match(start[2]):
        return InvalidRequest(400, "the version is malformed")
    if start[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        return InvalidRequest(505, "HTTP/1.1 is spoken here")
    fields = _parse_headers(lines[1:])
    if isinstance(fields, InvalidRequest):
        return fields
    length = _parse_content_length(fields, max_body_bytes)
    if isinstance(length, InvalidRequest):
        return length
    latest = start[2] == b"HTTP/1.1"
    if latest and (not fields.get("host") or "," in fields["host"]):
        return InvalidRequest(400, "one Host field is needed")
    if fields.get("expect", "100-continue").lower() != "100-continue":
        return InvalidRequest(417, "no such expectation is met here")
    options = [option.strip().lower() for option in fields.get("connection", "").split(",")]
    keep = latest and "close" not in options
    return RequestHead(start[0].decode(), start[1].decode(), fields, length, end + 4, keep)


def _parse_headers(lines: list[bytes]) -> dict[str, str] | InvalidRequest:
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
            return InvalidRequest(400, "a header field is malformed")
        key, text = name.decode().lower(), value.decode("latin-1")
        fields[key] = f"{fields[key]}, {text}" if key in fields else text
    return fields


def _parse_content_length(headers: dict[str, str], max_body_bytes: int) -> int | InvalidRequest:
    if "transfer-encoding" in headers:
        if "content-length" in headers:
            return InvalidRequest(400, "Transfer-Encoding and Content-Length together")
        return InvalidRequest(411, "send the body with Content-Length")
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        return InvalidRequest(400, "Content-Length is malformed")
    if len(text) > 12 or int(text) > max_body_bytes:
        return InvalidRequest(413, f"a body has at most {max_body_bytes} bytes")
    return int(text)


@dataclass(frozen=True, slots=True)
class Response:
    """A response."""

    status: int
    headers: dict[str, str]
    body: bytes = b""

    def encode(self, *, keep_alive: bool) -> bytes:
        """Its bytes."""
        lines = [f"HTTP/1.1 {self.status} {REASON_PHRASES[self.status]}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


def problem_response(
    status: int, detail: str, headers: dict[str, str] | None = None, **more: object
) -> Response:
    """A problem in the form of RFC 9457; its type is the status alone."""
    told = {"type": "about:blank", "title": REASON_PHRASES[status], "status": status, "detail": detail} | more
    head = {"Content-Type": "application/problem+json", "Cache-Control": "no-store"}
    return Response(status, head | (headers or {}), json.dumps(told).encode())
