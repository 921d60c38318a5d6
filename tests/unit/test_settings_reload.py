"""Settings taken anew at SIGHUP: classes added, dropped and changed; bad files turned down whole."""

from __future__ import annotations

import asyncio
import copy
import json
from typing import Any

import pytest

from cedarthread import config
from cedarthread.model.settings import Idempotency
from cedarthread.testing.fakes.scripted import ScriptedWorker, ask_control, client, pack_call, service
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.test_control import figures


def file_with(settings: dict[str, Any]) -> bytes:
    return json.dumps({"listen": "127.0.0.1:0", "settings": settings}).encode()


def retuned() -> Any:
    told: Any = copy.deepcopy(SETTINGS)
    told["classes"] = [c for c in told["classes"] if c["name"] != "check"]
    told["classes"][1]["effect"] = "retryable"  # confirm
    told["classes"].append({"name": "audit", "goal-time": 900, "deadline": 4000, "effect": "retryable"})
    told["limits"]["send-cap"] = 2
    return told


def test_new_classes_apply_to_new_calls_and_pending_ones_keep_their_own() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await mute.wait_until(lambda: len(mute.calls) == 1)
            [open_call] = running.dispatcher.pending_calls.values()
            raw = file_with(retuned())
            running.reloader.load_config = lambda: config.decode(raw, {})
            running.reload()
            classes = running.dispatcher.settings.classes
            assert (
                classes[open_call.class_index].idempotency is Idempotency.NOT_IDEMPOTENT
            )  # as when it was taken
            assert (
                classes[running.dispatcher.current_class_index["confirm"]].idempotency
                is Idempotency.IDEMPOTENT
            )
            assert set(running.dispatcher.current_class_index) == {"revise", "confirm", "audit"}
            assert running.dispatcher.settings.limits.max_attempts == 2
            assert running.dispatcher.router.state.settings is running.dispatcher.settings
            mute.behavior = lambda runner, message: {"op": "HIT", "fields": {}, "body": ""}
            assert (await caller.call(2, "audit", b"y"))[2] is None
            assert (await caller.call(3, "check", b"y"))[2] == ["BadRequest", {"why": "no such method"}]
            mute.answer(mute.calls[0], {"op": "HIT", "fields": {}, "body": ""})
            assert (await caller.read())[1:3] == [1, None]
            told = figures(await ask_control(running, b"INFO\n"))
            assert told["router.loads"] == 1 and told["router.load_errors"] == 0
            assert told["router.handled.audit.passed"] == 1 and told["router.handled.confirm.passed"] == 1
            assert told["router.handled.check.passed"] == 0  # a dropped class keeps what it counted

    asyncio.run(test())


def _spoilt(change: str) -> bytes:
    told: Any = copy.deepcopy(SETTINGS)
    if change == "deadline 0":
        told["classes"][0]["deadline"] = 0
    elif change == "deadline text":
        told["classes"][0]["deadline"] = "soon"
    elif change == "attempts 0":
        told["limits"]["send-cap"] = 0
    elif change == "attempts negative":
        told["limits"]["send-cap"] = -1
    elif change == "no deadline":
        del told["classes"][2]["deadline"]
    elif change == "no limits":
        del told["limits"]
    whole = file_with(told)
    return {"empty": b"", "cut short": whole[: len(whole) // 2]}.get(change, whole)


@pytest.mark.parametrize(
    "change",
    [
        "empty",
        "cut short",
        "deadline 0",
        "deadline text",
        "attempts 0",
        "attempts negative",
        "no deadline",
        "no limits",
    ],
)
def test_an_invalid_settings_file_is_rejected_whole(change: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            before = running.dispatcher.settings
            raw = _spoilt(change)
            running.reloader.load_config = lambda: config.decode(raw, {})
            running.reload()
            assert (
                running.dispatcher.settings is before and running.dispatcher.current_class_index["check"] == 0
            )
            told = figures(await ask_control(running, b"INFO\n"))
            assert told["router.load_errors"] == 1 and told["router.loads"] == 0
            assert (await caller.call(1, "check", b"x"))[2] is None

    asyncio.run(test())
    [line] = [r for r in caplog.records if "turned down whole" in r.getMessage()]
    assert line.levelname == "ERROR"
    where = {"deadline 0": "classes[0]: ", "no deadline": "classes[2]: 'deadline' is missing"}
    where |= {"attempts 0": "limits.send-cap: ", "attempts negative": "limits.send-cap: "}
    assert where.get(change, "") in line.getMessage()
