"""A caller of the invoke API in memory, which sends calls of all kinds and collects their results."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.dispatch.calls import CallRejected
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.http_reply import Reply, read_reply
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.fuzzing.router_under_test import FUNCTIONS, RouterUnderTest

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.target import FuzzedDataProvider

RESULT_BY_STATUS = {200: "served", 503: "refused", 502: "failed", 504: "failed"}
CALL_TIMEOUT_MS = 3000
NO_DEADLINE_MS = 1e9
MAX_PIPELINED = 3  # maximum number of unanswered requests on one connection


class RequestKind(Enum):
    """The kind of a request; findings print the value."""

    SYNC = "sync"
    DEFERRED = "deferred"
    COLLECT = "collect"
    DELETE = "delete"
    LAST_COLLECT = "last"  # a collect after the call's deadline, when the call must have a result


class PendingRequest(NamedTuple):
    """A request without a response, and the key of its call."""

    kind: RequestKind
    call_key: str


class CallPost(NamedTuple):
    """The call of a POST, which allows the caller to send the same POST again."""

    call_key: str
    function: str
    class_index: int


class FinalAnswer(NamedTuple):
    """The final response to a call."""

    status: int
    body: bytes


class InvokeCaller:
    """A caller with one identity and one connection at a time, which may pipeline requests.

    Args:
        router: The router that the caller connects to.
        identity: The SPIFFE ID of the caller.
    """

    def __init__(self, router: RouterUnderTest, identity: str) -> None:
        self.router = router
        self.checker = router.checker
        self.identity = identity
        self.deferred_calls: dict[str, str] = {}  # call keys by the call ID in the URL
        self.posts_by_key: dict[str, CallPost] = {}
        self.final_answers: dict[str, FinalAnswer] = {}  # keys: call keys
        self.pending_requests: list[PendingRequest] = []  # requests on this connection, oldest first
        self._connect()

    def _connect(self) -> None:
        self.transport = MemoryTransport(self.router.loop, self.on_bytes, self.on_close)
        self.is_connected = True
        self.buffer = b""
        self.transport.connect(self.router.connect_invoke(self.identity))

    def on_close(self) -> None:
        """Abandon the calls without a response, because the connection is closed."""
        self.is_connected = False
        for request in self.pending_requests:
            self._abandon(request.call_key)
        self.pending_requests.clear()

    def act(self, choices: FuzzedDataProvider) -> None:
        """Perform the action that the script selects."""
        if not self.is_connected:
            self._connect()
        if len(self.pending_requests) >= MAX_PIPELINED:
            return
        match choices.consume_byte() % 8:
            case 0 | 1:
                self.post(choices, idempotency_key=None, is_deferred=False)
            case 2 | 3:
                key = f"k{len(self.posts_by_key)}"
                self.post(choices, idempotency_key=key, is_deferred=bool(choices.consume_byte() & 1))
            case 4:
                self.retry_post(choices)
            case 5 if self.deferred_calls:
                call_id = choices.pick(list(self.deferred_calls))
                preference = choices.pick(("", "Prefer: wait=1\r\n", "Prefer: wait=20\r\n"))
                request = _request("GET", f"/v1/calls/{call_id}", preference)
                self.send_request(RequestKind.COLLECT, self.deferred_calls[call_id], request)
            case 6 if self.deferred_calls:
                call_id = choices.pick(list(self.deferred_calls))
                self._abandon(self.deferred_calls[call_id])
                request = _request("DELETE", f"/v1/calls/{call_id}")
                self.send_request(RequestKind.DELETE, self.deferred_calls[call_id], request)
                del self.deferred_calls[call_id]
            case 7:
                self.transport.peer_reset()

    def post(self, choices: FuzzedDataProvider, idempotency_key: str | None, *, is_deferred: bool) -> None:
        """Send a new call.

        Args:
            choices: The script, which selects the class and the function.
            idempotency_key: The key; None to generate one if the class requires a key, else to send none.
            is_deferred: Whether the caller requests a deferred response.
        """
        router = self.router
        class_index = choices.consume_byte() % 5
        if router.class_needs_key(class_index) and idempotency_key is None:
            idempotency_key = f"k{len(self.posts_by_key)}"
        post = CallPost(router.next_call_key(), choices.pick(FUNCTIONS), class_index)
        router.called_functions.add(post.function)
        # A keyed or deferred call has no deadline here, because the router stores its result for the caller.
        # A pipelined call has none either, because the router reads it after the response to the one before.
        has_deadline = idempotency_key is None and not is_deferred and not self.pending_requests
        timeout_ms = CALL_TIMEOUT_MS if has_deadline else NO_DEADLINE_MS
        self.checker.on_call_submitted(
            router.now_ms(), post.call_key, router.guarantees(class_index), router.now_ms() + timeout_ms
        )
        if idempotency_key is not None:
            self.posts_by_key[idempotency_key] = post
        self._send_post(post, idempotency_key, is_deferred=is_deferred)

    def _send_post(self, post: CallPost, idempotency_key: str | None, *, is_deferred: bool) -> None:
        path = f"/v1/functions/{post.function}/{self.router.class_name(post.class_index)}"
        fields = f"Call-Timeout-Ms: {CALL_TIMEOUT_MS}\r\nContent-Length: {len(post.call_key)}\r\n"
        fields += "Prefer: respond-async\r\n" if is_deferred else ""
        fields += f"Idempotency-Key: {idempotency_key}\r\n" if idempotency_key is not None else ""
        kind = RequestKind.DEFERRED if is_deferred else RequestKind.SYNC
        self.send_request(kind, post.call_key, _request("POST", path, fields) + post.call_key)

    def retry_post(self, choices: FuzzedDataProvider) -> None:
        """Send a POST again with the same key, while its call is pending or its result is stored."""
        # The router would read a pipelined POST later, when the state that is checked below may have changed.
        if not self.posts_by_key or self.pending_requests:
            return
        key = choices.pick(list(self.posts_by_key))
        stored = self.router.invoke.calls.deferred_calls.find_by_key(self.identity, key)
        if stored is None or isinstance(stored.result, CallRejected):
            return  # the POST would start a new call with the same body, but the body identifies a call here
        self._send_post(self.posts_by_key[key], key, is_deferred=bool(choices.consume_byte() & 1))

    def send_request(self, kind: RequestKind, call_key: str, text: str) -> None:
        """Send a request and record that it awaits a response."""
        if not self.is_connected:  # the router closed the connection because of its connection limit
            self._abandon(call_key)
            return
        self.pending_requests.append(PendingRequest(kind, call_key))
        self.transport.peer_send(text.encode())

    def on_bytes(self, data: bytes) -> None:
        """Receive responses, in the order of their requests."""
        self.buffer += data
        while (parsed := read_reply(self.buffer)) is not None:
            self.buffer = self.buffer[parsed.end :]
            if not self.pending_requests:
                raise Finding(f"response {parsed.reply.status} without a pending request")
            self.on_reply(self.pending_requests.pop(0), parsed.reply)

    def on_reply(self, request: PendingRequest, reply: Reply) -> None:
        """Check one response against the oldest request without a response."""
        kind, call_key = request
        if reply.status == 202 and kind is RequestKind.LAST_COLLECT:
            raise Finding(f"{call_key} is still pending after its deadline")
        if reply.status == 202:
            self.deferred_calls[reply.fields["location"].rpartition("/")[2]] = call_key
        elif reply.status in RESULT_BY_STATUS and kind is not RequestKind.DELETE:
            self._on_final_answer(call_key, reply)
        elif reply.status == 404 and kind in (RequestKind.COLLECT, RequestKind.LAST_COLLECT):
            self._abandon(call_key)  # the result has expired or was deleted
        elif not (reply.status == 204 and kind is RequestKind.DELETE) and reply.status != 404:
            raise Finding(
                f"unexpected response to {kind.value} of {call_key}: {reply.status}: {reply.body[:80]!r}"
            )

    def _on_final_answer(self, call_key: str, reply: Reply) -> None:
        result = RESULT_BY_STATUS[reply.status]
        if reply.status == 504 and b'"harmless"' in reply.body:
            result = "refused"
        answer = FinalAnswer(reply.status, reply.body)
        earlier = self.final_answers.setdefault(call_key, answer)
        if earlier is answer:
            body = reply.body if result == "served" else b""
            self.checker.on_answer(self.router.now_ms(), call_key, result, body)
        elif earlier != answer:
            raise Finding(f"two different final answers for {call_key}: {tuple(earlier)} and {tuple(answer)}")

    def collect(self) -> None:
        """Collect one deferred call after every deadline has passed, when its result must be available.

        Raises:
            Finding: A request has had no response.
        """
        if self.is_connected and self.pending_requests:
            kind, call_key = self.pending_requests[0]
            raise Finding(f"{(kind.value, call_key)} has had no response")
        if not self.deferred_calls:
            return
        if not self.is_connected:
            self._connect()
        call_id, call_key = next(iter(self.deferred_calls.items()))
        self.send_request(RequestKind.LAST_COLLECT, call_key, _request("GET", f"/v1/calls/{call_id}"))
        del self.deferred_calls[call_id]

    def _abandon(self, call_key: str) -> None:
        self.checker.on_call_abandoned(self.router.now_ms(), call_key)


def _request(method: str, path: str, fields: str = "") -> str:
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{fields}\r\n"
