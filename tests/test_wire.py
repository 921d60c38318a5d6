"""The codec against byte layouts put together by hand, and round trips through the adapter."""

from __future__ import annotations

import io
import json
import struct

import pytest

from cedarthread import interface as i
from cedarthread import wire
from cedarthread.simhost import Host, main

INFO = {
    "balancers": 3,
    "classes": [
        {"name": "x", "goal-time": 500.0, "deadline": 2000.0, "effect": "retryable", "value": 2.0},
        {"name": "y", "goal-time": 500.0, "deadline": 2000.0, "effect": "dedup", "group": "zone"},
    ],
    "limits": {"send-cap": 3, "most-held": 100, "cancel": True},
    "obligations": {"cold-from": 0.2, "warm-after": 9000.0, "fall": 1000.0, "overload-factor": 2.0},
    "a-key-of-tomorrow": 1,
}


def frame(*records: bytes, now: float = 250.0) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now, len(records)) + body


def at(who: int) -> bytes:
    return struct.pack("<BI", 13, who)


def start(info: object = INFO) -> bytes:
    text = json.dumps(info).encode()
    return struct.pack("<BQI", 1, 99, len(text)) + text


def table(number: int, *hosts: int, state: int = 2) -> bytes:
    entries = b"".join(struct.pack("<IBHHBfd", h, 0, 0, 0, state, 1.0, 0.0) for h in hosts)
    return struct.pack("<BII", 12, number, len(hosts)) + entries


def update(number: int, scope: int = 1) -> bytes:
    return struct.pack("<BBQI", 2, scope, 1, number)


def arrival(tid: int, give_up: float = 2250.0) -> bytes:
    return struct.pack("<BIfdQHffdHH", 3, tid, 2.0, give_up, 77, 0, 384.0, 900.0, 12.0, 0, 1)


def one(record: bytes) -> wire.HostEvent:
    _, events = wire.Decoder().batch(frame(at(5), record))
    ((who, event),) = list(events)
    assert who == 5
    return event


def test_header_and_empty_batch() -> None:
    raw = bytes.fromhex("10000000" + "00000000206ec040" + "00000000")
    now, events = wire.Decoder().batch(raw)
    assert now == 8412.25 and list(events) == []
    assert wire.encode_reply([]) == bytes.fromhex("04000000")


def test_arrival_layout() -> None:
    event = one(arrival(9))
    assert event == i.Request(9, 77, 0, 2250.0, None, 2.0, 384.0, 900.0, 12.0, False, False)
    assert len(arrival(9)) == 47


def test_absent_and_odd_numbers_count_as_absent() -> None:
    raw = struct.pack("<BIfdQHffdHH", 3, 9, float("nan"), 1.0, 77, 0, -1.0, float("inf"), 12.0, 3, 0xFFF2)
    event = one(raw)
    assert isinstance(event, i.Request)
    assert (event.lanes, event.memory, event.load_time, event.work) == (None, None, None, None)
    assert event.repeat and not event.write and event.tenant is None


def test_outcome_layout_with_note_crowd_and_report() -> None:
    raw = struct.pack("<BIIdIHHBB", 5, 9, 4, 26.0, 8 * 6 + 3, 1, 200, 1, 2) + struct.pack("<2f", 0.5, -1.0)
    event = one(raw)
    assert event == i.AttemptEnded(9, 1, 4, i.Outcome.OK, 26.0, True, i.CopyNote.AWAITED, 6, (0.5, None))


@pytest.mark.parametrize(
    ("raw", "event"),
    [
        (struct.pack("<BIHId", 4, 9, 1, 4, 2.5), i.StreamBegan(9, 1, 4, 2.5)),
        (struct.pack("<BI", 6, 9), i.ClientGone(9)),
        (struct.pack("<BI", 7, 77), i.TimerDue(77)),
        (struct.pack("<BdIHB", 8, 2.5, 4, 408, 0), i.ProbeEnded(4, i.Outcome.TIMEOUT, 2.5, ())),
        (struct.pack("<BIH", 9, 2, 2) + b"hi", i.PeerMessage(2, b"hi")),
        (struct.pack("<B", 10), wire.Kill()),
        (struct.pack("<BBIQHd", 11, 2, 4, 77, 429, 5.0), i.OrderEnded(4, 77, i.Outcome.FULL, 2, 5.0)),
        (struct.pack("<BBQI", 2, 2, 7, 0), i.Membership(i.ListKind.FAILED, 7, ())),
    ],
)
def test_event_layouts(raw: bytes, event: wire.HostEvent) -> None:
    assert one(raw) == event


@pytest.mark.parametrize(
    ("action", "raw"),
    [
        (i.Send(9, 4, 80.0), struct.pack("<BIId", 71, 9, 4, 80.0)),
        (i.Send(9, 4), struct.pack("<BIId", 71, 9, 4, 0.0)),
        (i.FetchList(), b"\x49"),
        (i.Refuse(9, 50.0), struct.pack("<BId", 68, 9, 50.0)),
        (i.Fail(9), struct.pack("<BI", 77, 9)),
        (i.Order(4, 77, 3), struct.pack("<BIQB", 65, 4, 77, 3)),
        (i.Unload(4, 77), struct.pack("<BQI", 76, 77, 4)),
        (i.Tell(b"hi"), bytes.fromhex("46ffff02006869")),
        (i.Tell(b"hi", 2), bytes.fromhex("46020002006869")),
        (i.CloseIdle(4), struct.pack("<BI", 66, 4)),
        (i.SetTimer(8400.25, 77), struct.pack("<BdI", 67, 8400.25, 77)),
        (i.Probe(4), struct.pack("<BI", 78, 4)),
        (i.Subscribe(True), b"\x4a\x01"),
        (i.Cancel(9, 1), struct.pack("<BIH", 79, 9, 1)),
        (i.Log("ok"), b"\x4b\x02\x00ok"),
    ],
)
def test_action_layouts(action: i.Action, raw: bytes) -> None:
    assert wire.encode_action(action) == raw


def test_table_numbers_resolve_in_event_order() -> None:
    decoder = wire.Decoder()
    _, events = decoder.batch(frame(at(1), table(0, 4), update(0), table(0, 5, 6), update(0, 3)))
    lists = [e for _, e in events]
    assert [[w.worker for w in e.workers] for e in lists if isinstance(e, i.Membership)] == [[4], [5, 6]]


def test_settings_and_unknown_keys() -> None:
    got = wire.parse_settings(json.dumps(INFO).encode())
    assert [c.effect for c in got.classes] == [i.Effect.SAFE, i.Effect.KEYED]
    assert got.classes[1].group is i.Group.ZONE and got.rules.fall_time == 1000.0 and got.limits.attempts == 3


def test_host_serves_a_request_and_restarts_from_nothing() -> None:
    host = Host()
    reply = host.reply(frame(at(3), start(), table(0, 4), update(0), arrival(9)))
    assert struct.pack("<BI", 72, 3) in reply and struct.pack("<BII", 71, 9, 4) in reply
    host.reply(frame(at(3), struct.pack("<B", 10), start(), table(0), update(0)))
    assert host.routers[3].router.open == {} and host.routers[3].router.workers == {}


@pytest.mark.parametrize(
    "raw",
    [
        b"\x05\x00",
        frame(at(3), b"\xee"),
        frame(at(3), arrival(9)[:-3]),
        frame(arrival(9)),
        frame(at(3), start({"classes": 3})),
        frame(at(3), update(7)),
        struct.pack("<IdI", 15, 0.0, 0),
        frame() + b"\x40",
    ],
)
def test_bad_input_is_one_line_and_a_failing_exit(raw: bytes, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(io.BytesIO(raw), io.BytesIO()) != 0
    err = capsys.readouterr().err
    assert err.startswith("cedarthread: bad input: ") and err.count("\n") == 1


def test_an_exception_in_the_module_is_reported() -> None:
    host = Host()
    bad = struct.pack("<BIfdQHffdHH", 3, 9, 2.0, 2250.0, 77, 12, 1.0, 1.0, 1.0, 0, 0)
    reply = host.reply(frame(at(3), start(), table(0, 4), update(0), bad))
    assert reply[9] == 69 and b"IndexError" in reply
