"""Codec of HTTP/1.1 messages (RFC 9110, RFC 9112) for a server. A parse error is returned as a value."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from http import HTTPStatus

MAX_HEAD_BYTES = 8 * 1024
REQUEST_LINE_PARTS = 3  # number of parts of a request line: method, target, version
MAX_LENGTH_DIGITS = 12  # maximum digits of Content-Length; a number with more digits exceeds any limit
_HEAD_END = b"\r\n\r\n"
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
    headers: dict[str, str]  # values by name in lower case; repeated values are joined by commas
    content_length: int  # length of the body in bytes
    head_bytes: int  # length of the head in bytes
    keep_alive: bool

    def preferences(self) -> dict[str, str]:
        """Return the preferences of ``Prefer`` (RFC 7240), the first value of each name."""
        preferences: dict[str, str] = {}
        for preference in self.headers.get("prefer", "").split(","):
            name, _, value = preference.split(";")[0].partition("=")
            preferences.setdefault(name.strip().lower(), value.strip().strip('"'))
        return preferences


@dataclass(frozen=True, slots=True)
class IncompleteHead:
    """A head whose end has not been received."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """An invalid request; the connection is closed after the response with this status."""

    status: int
    reason: str


def parse_head(data: memoryview, max_body_bytes: int) -> RequestHead | IncompleteHead | InvalidRequest:
    """Parse the head at the start of the data."""
    raw = bytes(data[:MAX_HEAD_BYTES])
    end = raw.find(_HEAD_END)
    if end < 0:
        if len(data) >= MAX_HEAD_BYTES:
            return InvalidRequest(431, "the head is too long")
        return IncompleteHead()
    lines = raw[:end].split(b"\r\n")
    request_line = lines[0].split(b" ")
    if (problem := _check_request_line(request_line)) is not None:
        return problem
    method, target, version = request_line
    headers = _parse_headers(lines[1:])
    if isinstance(headers, InvalidRequest):
        return headers
    content_length = _parse_content_length(headers, max_body_bytes)
    if isinstance(content_length, InvalidRequest):
        return content_length
    is_http_1_1 = version == b"HTTP/1.1"
    if is_http_1_1 and (not headers.get("host") or "," in headers["host"]):
        return InvalidRequest(400, "one Host field is needed")
    if headers.get("expect", "100-continue").lower() != "100-continue":
        return InvalidRequest(417, "no such expectation is met here")
    options = [option.strip().lower() for option in headers.get("connection", "").split(",")]
    keep_alive = is_http_1_1 and "close" not in options
    head_bytes = end + len(_HEAD_END)
    return RequestHead(method.decode(), target.decode(), headers, content_length, head_bytes, keep_alive)


def _check_request_line(request_line: list[bytes]) -> InvalidRequest | None:
    if (
        len(request_line) != REQUEST_LINE_PARTS
        or not _TOKEN.match(request_line[0])
        or not _TARGET.match(request_line[1])
    ):
        return InvalidRequest(400, "the request line is malformed")
    if not _VERSION.match(request_line[2]):
        return InvalidRequest(400, "the version is malformed")
    if request_line[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        return InvalidRequest(505, "HTTP/1.1 is spoken here")
    return None


def _parse_headers(lines: list[bytes]) -> dict[str, str] | InvalidRequest:
    headers: dict[str, str] = {}
    for line in lines:
        raw_name, colon, raw_value = line.partition(b":")
        raw_value = raw_value.strip(b" \t")
        if not colon or not _TOKEN.match(raw_name) or not _VALUE.match(raw_value):
            return InvalidRequest(400, "a header field is malformed")
        name = raw_name.decode().lower()
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _parse_content_length(headers: dict[str, str], max_body_bytes: int) -> int | InvalidRequest:
    if "transfer-encoding" in headers:
        if "content-length" in headers:
            return InvalidRequest(400, "Transfer-Encoding and Content-Length together")
        return InvalidRequest(411, "send the body with Content-Length")
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        return InvalidRequest(400, "Content-Length is malformed")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_body_bytes:
        return InvalidRequest(413, f"a body has at most {max_body_bytes} bytes")
    return int(text)


@dataclass(frozen=True, slots=True)
class Response:
    """A response, encoded on demand."""

    status: int
    headers: dict[str, str]
    body: bytes = b""

    def encode(self, *, keep_alive: bool) -> bytes:
        """Encode the response with its Content-Length and Connection fields."""
        lines = [f"HTTP/1.1 {self.status} {REASON_PHRASES[self.status]}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self.status != HTTPStatus.NO_CONTENT:
            lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + _HEAD_END + self.body


def problem_response(
    status: int, detail: str, headers: dict[str, str] | None = None, **extensions: object
) -> Response:
    """Create a problem response (RFC 9457).

    Args:
        status: The status, which is also the type of the problem.
        detail: The explanation for the client.
        headers: Further header fields.
        extensions: Further members of the problem.
    """
    members = {
        "type": "about:blank",
        "title": REASON_PHRASES[status],
        "status": status,
        "detail": detail,
    } | extensions
    problem_headers = {"Content-Type": "application/problem+json", "Cache-Control": "no-store"}
    return Response(status, problem_headers | (headers or {}), json.dumps(members).encode())
