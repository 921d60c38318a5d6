"""Encodes the actions of routers as records of the simulator's reply frames; this module has no state.

All numbers are little-endian; each record starts with its code.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    UnloadFunction,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TEXT_BYTES = 0xFFFF  # the length of a text is a 16-bit number; a longer text is truncated
_ALL_PEERS = 0xFFFF


class RecordCode(IntEnum):
    """Codes of the records of a reply frame: the first byte of each record."""

    PRELOAD_FUNCTION = 65
    CLOSE_IDLE_CONNECTIONS = 66
    SET_TIMER = 67
    REJECT_REQUEST = 68
    FAILURE = 69  # the router raised an exception
    SEND_TO_PEER = 70
    START_ATTEMPT = 71
    SELECT_INSTANCE = 72  # selects the instance to which the actions of the next records belong
    FETCH_ENDPOINTS = 73
    SUBSCRIBE_ENDPOINTS = 74
    LOG_MESSAGE = 75
    UNLOAD_FUNCTION = 76
    FAIL_REQUEST = 77
    CHECK_HEALTH = 78
    CANCEL_ATTEMPT = 79


_CODE_ONLY = struct.Struct("<B")
_CODE_AND_U8 = struct.Struct("<BB")
_CODE_AND_U32 = struct.Struct("<BI")
_TEXT_HEADER = struct.Struct("<BH")
_SEND_TO_PEER_HEADER = struct.Struct("<BHH")
_START_ATTEMPT = struct.Struct("<BIId")
_REJECT_REQUEST = struct.Struct("<BId")
_CANCEL_ATTEMPT = struct.Struct("<BIH")
_PRELOAD_FUNCTION = struct.Struct("<BIQB")
_UNLOAD_FUNCTION = struct.Struct("<BQI")
_SET_TIMER = struct.Struct("<BdI")
_FRAME_LENGTH = struct.Struct("<I")


def _start_attempt(action: StartAttempt) -> bytes:
    timeout_ms = 0.0 if action.timeout_ms is None else action.timeout_ms
    return _START_ATTEMPT.pack(RecordCode.START_ATTEMPT, action.request_id, action.worker_id, timeout_ms)


def _reject_request(action: RejectRequest) -> bytes:
    return _REJECT_REQUEST.pack(RecordCode.REJECT_REQUEST, action.request_id, action.retry_after_ms or 0.0)


def _fail_request(action: FailRequest) -> bytes:
    return _CODE_AND_U32.pack(RecordCode.FAIL_REQUEST, action.request_id)


def _cancel_attempt(action: CancelAttempt) -> bytes:
    return _CANCEL_ATTEMPT.pack(RecordCode.CANCEL_ATTEMPT, action.request_id, action.attempt_index)


def _preload_function(action: PreloadFunction) -> bytes:
    return _PRELOAD_FUNCTION.pack(
        RecordCode.PRELOAD_FUNCTION, action.worker_id, action.function_id, action.instances
    )


def _unload_function(action: UnloadFunction) -> bytes:
    return _UNLOAD_FUNCTION.pack(RecordCode.UNLOAD_FUNCTION, action.function_id, action.worker_id)


def _check_health(action: CheckHealth) -> bytes:
    return _CODE_AND_U32.pack(RecordCode.CHECK_HEALTH, action.worker_id)


def _send_to_peer(action: SendToPeer) -> bytes:
    peer = _ALL_PEERS if action.peer_index is None else action.peer_index
    return _SEND_TO_PEER_HEADER.pack(RecordCode.SEND_TO_PEER, peer, len(action.data)) + action.data


def _subscribe_endpoints(action: SubscribeEndpoints) -> bytes:
    return _CODE_AND_U8.pack(RecordCode.SUBSCRIBE_ENDPOINTS, action.is_enabled)


def _fetch_endpoints(_: FetchEndpoints) -> bytes:
    return _CODE_ONLY.pack(RecordCode.FETCH_ENDPOINTS)


def _close_idle_connections(action: CloseIdleConnections) -> bytes:
    return _CODE_AND_U32.pack(RecordCode.CLOSE_IDLE_CONNECTIONS, action.worker_id)


def _set_timer(action: SetTimer) -> bytes:
    return _SET_TIMER.pack(RecordCode.SET_TIMER, action.at_ms, action.token)


def _log_message(action: LogMessage) -> bytes:
    return _encode_text(RecordCode.LOG_MESSAGE, action.message)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    StartAttempt: _start_attempt,
    RejectRequest: _reject_request,
    FailRequest: _fail_request,
    CancelAttempt: _cancel_attempt,
    PreloadFunction: _preload_function,
    UnloadFunction: _unload_function,
    CheckHealth: _check_health,
    SendToPeer: _send_to_peer,
    SubscribeEndpoints: _subscribe_endpoints,
    FetchEndpoints: _fetch_endpoints,
    CloseIdleConnections: _close_idle_connections,
    SetTimer: _set_timer,
    LogMessage: _log_message,
}


def encode_action(action: Action) -> bytes:
    """Return the record of one action."""
    return _ENCODERS[type(action)](action)


def encode_select_instance(instance_id: int) -> bytes:
    """Return the record that selects the instance to which the following actions belong."""
    return _CODE_AND_U32.pack(RecordCode.SELECT_INSTANCE, instance_id)


def encode_failure(text: str) -> bytes:
    """Return the record that reports an exception that a router raised."""
    return _encode_text(RecordCode.FAILURE, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Return a reply frame: its length in bytes, which includes the length field, and the records."""
    body = b"".join(records)
    return _FRAME_LENGTH.pack(_FRAME_LENGTH.size + len(body)) + body


def _encode_text(code: RecordCode, text: str) -> bytes:
    data = text.encode()
    return _TEXT_HEADER.pack(code, min(len(data), MAX_TEXT_BYTES)) + data[:MAX_TEXT_BYTES]
