"""Records that the router sends to the simulator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.actions import (
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
from cedarthread.simulator.encoder import encode_action, encode_failure, encode_reply, encode_select_instance
from tests.golden_builders.sample import FUNCTION_ID, Sample

if TYPE_CHECKING:
    from cedarthread.model.actions import Action


def build_simulator_actions() -> list[Sample]:
    """Return the record of each kind of action, and the other records of a reply."""
    actions: dict[str, Action] = {
        "send": StartAttempt(9, 4, 80.0),
        "send without patience": StartAttempt(9, 4),
        "refuse": RejectRequest(9, 50.0, "told in words"),
        "refuse without time": RejectRequest(9),
        "fail": FailRequest(9),
        "cancel": CancelAttempt(9, 1),
        "order": PreloadFunction(4, FUNCTION_ID, 3),
        "unload": UnloadFunction(4, FUNCTION_ID),
        "probe": CheckHealth(4),
        "tell all": SendToPeer(b"hi"),
        "tell one": SendToPeer(b"hi", 2),
        "subscribe": SubscribeEndpoints(),
        "subscribe no more": SubscribeEndpoints(False),
        "fetch": FetchEndpoints(),
        "close idle": CloseIdleConnections(4),
        "timer": SetTimer(8400.25, 77),
        "log": LogMessage("\u00e9 ok"),
    }
    return [
        *(Sample(name, encode_action(action)) for name, action in actions.items()),
        Sample("instance", encode_select_instance(5)),
        Sample("broken", encode_failure("IndexError: x")),
        Sample("reply", encode_reply([encode_select_instance(5), b"\x49"])),
    ]
