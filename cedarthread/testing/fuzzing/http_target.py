"""The fuzz target of the HTTP parser, and a generator of requests of the invoke API."""

from __future__ import annotations

import random

from cedarthread.protocols import http
from cedarthread.testing.fuzzing.cuts import sample_truncation_points
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    mutate_bytes,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target

MAX_BODY_BYTES = 16 * 1024
EDGE_HEADERS = [
    b"Content-Length: 1",
    b"content-length:1",
    b"Content-Length: +1",
    b"Content-Length: 1_0",
    b"Content-Length: \xd9\xa3",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding : chunked",
    b" folded: x",
    b"Connection: close",
    b"Expect: 100-continue",
    b"Prefer: respond-async, wait=5",
    b"Host: b",
    b": x",
    b"Idempotency-Key: k1",
    b"Call-Lanes: nan",
    b"Call-Lanes: 1e999",
    b"Call-Timeout-Ms: 99999999999",
    b"Content-Length: " + b"9" * 5000,
    b"X: " + b"y" * 9000,
    b"Call-Memory-Mb: -0",
]


def generate_request(rng: random.Random) -> bytes:
    """Return a request of the invoke API, valid or nearly valid."""
    body = rng.randbytes(rng.choice((0, 0, 3, 300)))
    class_name = rng.choice(("check", "revise", "confirm", "none", "a%2e"))
    target = rng.choice(
        (f"/v1/functions/{'ab' * 8}/{class_name}", "/v1/calls/abc", "/v1/ready", "/v1/functions/x/y")
    )
    method = rng.choice(("POST", "POST", "GET", "DELETE", "PUT"))
    fields = [b"Host: a", b"Content-Length: %d" % (len(body) + rng.choice((0, 0, 0, 0, 1)))]
    fields += rng.sample(EDGE_HEADERS, rng.choice((0, 0, 1, 2)))
    rng.shuffle(fields)
    version = rng.choice((b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0"))
    start = f"{method} {target} ".encode() + version
    return b"\r\n".join((start, *fields, b"", b"")) + body


class HttpHeadTarget(Target):
    """Heads of HTTP requests."""

    name = "http"
    modules = ("cedarthread.protocols.http",)
    line_budget = Budget(20_000, 800)

    def generate(self, rng: random.Random) -> bytes:
        """Return a request with a body of the declared length or one byte shorter."""
        return generate_request(rng)

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the request with a line of its head added, removed or changed, or with changed bytes."""
        head, blank, body = data.partition(b"\r\n\r\n")
        if rng.random() < 0.4 or not blank:
            return mutate_bytes(data, rng)
        lines = head.split(b"\r\n")
        position = rng.randrange(len(lines))
        match rng.randrange(4):
            case 0:
                lines.insert(position, lines[rng.randrange(len(lines))])
            case 1 if len(lines) > 1:
                del lines[position]
            case 2:
                lines.insert(max(1, position), rng.choice(EDGE_HEADERS))
            case _:
                lines[position] = mutate_bytes(lines[position], rng)
        return b"\r\n".join(lines) + blank + body

    def check(self, data: bytes) -> None:
        """Check that the parser accepts no head that another parser could interpret differently."""
        parsed = http.parse_head(memoryview(data), MAX_BODY_BYTES)
        if not isinstance(parsed, http.RequestHead):
            return
        head = data[: parsed.head_bytes]
        require(
            head.endswith(b"\r\n\r\n") and head.count(b"\r\n\r\n") == 1,
            "the head does not end at its only empty line",
        )
        bare = head.replace(b"\r\n", b"")
        require(
            not any(mark in bare for mark in (b"\r", b"\n", b"\0")), "a bare CR, bare LF or NUL was accepted"
        )
        names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:-2]]
        require(b"transfer-encoding" not in names, "Transfer-Encoding was accepted")
        require(names.count(b"content-length") <= 1, "two Content-Length fields were accepted")
        require(
            not any(name != name.strip() for name in names), "white space around a field name was accepted"
        )
        require(
            0 <= parsed.content_length <= MAX_BODY_BYTES,
            f"a body of {parsed.content_length} bytes was accepted",
        )
        for position in sample_truncation_points(random.Random(len(head)), head):
            require(
                not isinstance(
                    http.parse_head(memoryview(head)[:position], MAX_BODY_BYTES), http.RequestHead
                ),
                f"head truncated at {position} was accepted as complete",
            )
        parsed.preferences()
