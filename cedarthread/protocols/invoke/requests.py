"""Parsing and validation of requests to the invoke API: paths, header fields and preferences."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.number_checks import positive_or_none
from cedarthread.protocols.http import Response, problem_response

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.dispatch.deferred import RequestFingerprint
    from cedarthread.protocols import http

MAX_BODY_BYTES = 16 * 1024
MAX_WAIT_S = 30.0  # longest wait that a request may prefer
MAX_TIMEOUT_DIGITS = 9  # maximum number of digits of Call-Timeout-Ms; allows up to 11 days
MAX_WAIT_DIGITS = 5  # maximum digits of the wait preference in s; a wait over MAX_WAIT_S counts as MAX_WAIT_S
UNKNOWN_CLASS_STATUS = 404  # status of the response to a call of a class that the settings do not contain
READY_PATH = "/v1/ready"
_CALL_PATH = re.compile(r"/v1/functions/([0-9a-f]{16})/([^/]+)\Z")
_DEFERRED_CALL_PATH = re.compile(r"/v1/calls/([A-Za-z0-9_-]+)\Z")
_IDEMPOTENCY_KEY = re.compile(r'"?([\x21\x23-\x7e]{1,128})"?\Z')


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A valid request for a call."""

    class_name: str
    class_index: int  # index into the classes of the settings in force; changes with the settings
    function_hex: str  # the function's id, 16 hex digits
    idempotency_key: str | None
    body: bytes
    timeout_ms: float
    concurrency: float | None
    memory_mb: float | None

    def fingerprint(self) -> tuple[str, str, bytes]:
        """Return the values that must be the same in a retry with the same idempotency key."""
        return _fingerprint(self.class_name, self.function_hex, self.body)


class StoredCallReference(NamedTuple):
    """The call to which a returning caller refers, whether or not its class is still in the settings."""

    idempotency_key: str
    fingerprint: RequestFingerprint


def _fingerprint(class_name: str, function_hex: str, body: bytes) -> RequestFingerprint:
    """Return what identifies a call. New settings may change all else of its class."""
    return class_name, function_hex, hashlib.sha256(body).digest()


def parse_stored_call_reference(head: http.RequestHead, body: bytes) -> StoredCallReference | None:
    """Return the stored call to which a POST request may refer, or None if it has no valid key."""
    match = _CALL_PATH.match(head.target)
    key = _parse_idempotency_key(head, is_required=False)
    if match is None or not isinstance(key, str):
        return None
    return StoredCallReference(key, _fingerprint(match[2], match[1], body))


def is_call_path(path: str) -> bool:
    """Return whether this is the path for calling a function."""
    return _CALL_PATH.match(path) is not None


def deferred_call_id(path: str) -> str | None:
    """Return the id in the path of a deferred call; None for any other path."""
    match = _DEFERRED_CALL_PATH.match(path)
    return match[1] if match is not None else None


def parse_call_request(
    settings: RouterSettings, class_indexes: Mapping[str, int], head: http.RequestHead, body: bytes
) -> CallRequest | Response:
    """Parse the call in a POST request.

    Args:
        settings: The current settings.
        class_indexes: The index of each class by name.
        head: The request's head.
        body: The request's body.

    Returns:
        The call, or the problem response to an invalid request.
    """
    match = _CALL_PATH.match(head.target)
    if match is None or match[2] not in class_indexes:
        return problem_response(UNKNOWN_CLASS_STATUS, "no such function path or class")
    class_index = class_indexes[match[2]]
    request_class = settings.classes[class_index]
    key = _parse_idempotency_key(head, is_required=request_class.idempotency is Idempotency.WITH_KEY)
    if isinstance(key, Response):
        return key
    timeout = head.headers.get("call-timeout-ms", str(int(request_class.deadline_ms)))
    if not (timeout.isascii() and timeout.isdigit() and 0 < len(timeout) <= MAX_TIMEOUT_DIGITS):
        return problem_response(400, "Call-Timeout-Ms takes a positive whole number")
    if int(timeout) <= 0:
        return problem_response(400, "Call-Timeout-Ms takes a positive whole number")
    numbers: list[float | None] = []
    for name in ("call-lanes", "call-memory-mb"):
        try:
            numbers.append(positive_or_none(float(head.headers[name])) if name in head.headers else None)
        except ValueError:
            return problem_response(400, f"{name} takes a number")
    concurrency, memory_mb = numbers
    timeout_ms = min(float(timeout), request_class.deadline_ms)
    return CallRequest(
        class_name=match[2],
        class_index=class_index,
        function_hex=match[1],
        idempotency_key=key,
        body=body,
        timeout_ms=timeout_ms,
        concurrency=concurrency,
        memory_mb=memory_mb,
    )


def _parse_idempotency_key(head: http.RequestHead, *, is_required: bool) -> str | Response | None:
    text = head.headers.get("idempotency-key")
    if text is None:
        return problem_response(400, "this class needs an Idempotency-Key") if is_required else None
    match = _IDEMPOTENCY_KEY.match(text)
    if match is None:
        return problem_response(400, "Idempotency-Key takes 1 to 128 visible characters")
    return match[1]


def worker_idempotency_key(owner: str, key: str) -> str:
    """Return the key sent to workers: a digest of owner and key, so that keys of two owners never collide."""
    return hashlib.sha256(f"{owner}\n{key}".encode()).hexdigest()[:32]


def wait_preference_s(preferences: Mapping[str, str]) -> float:
    """Return the seconds of the wait preference (``Prefer: wait``, RFC 7240); 0 without one."""
    text = preferences.get("wait", "")
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_WAIT_DIGITS
    return min(float(text), MAX_WAIT_S) if is_valid else 0.0
