"""Fuzz targets of the configuration parsers; with accepted settings, a router must serve requests."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread import config
from cedarthread.model.actions import SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, RequestArrived
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.invoke import config as invoke_config
from cedarthread.routing.router import Router
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    DEEP_LIST,
    EDGE_FLOATS,
    EDGE_NUMBERS,
    EDGE_STRINGS,
    mutate_bytes,
    mutate_tree,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target

if TYPE_CHECKING:
    import random

    from cedarthread.model.settings import RouterSettings

MAX_CLASSES = 8  # maximum number of request classes to exercise


def exercise_settings(settings: RouterSettings) -> None:
    """Serve a request of each class with accepted settings, and check that all times are finite."""
    router = Router(settings, 1)
    workers = tuple(Endpoint(number, 0, 0, 0, EndpointState.READY, None, None) for number in (1, 2))
    actions = router.handle(1000.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, workers))
    for index, request_class in enumerate(settings.classes[:MAX_CLASSES]):
        deadline_ms = request_class.deadline_ms
        require(
            math.isfinite(deadline_ms) and deadline_ms > 0,
            f"deadline of {deadline_ms} ms is not finite and positive",
        )
        actions = actions + router.handle(1001.0, RequestArrived(index, 7, index, 1001.0 + deadline_ms))
        for action in actions:
            if isinstance(action, StartAttempt) and action.request_id == index:
                router.handle(
                    1002.0, AttemptEnded(index, 0, action.worker_id, Outcome.ERROR, 1.0, is_final=False)
                )
    for action in actions:
        if isinstance(action, SetTimer):
            require(math.isfinite(action.at_ms), f"timer at {action.at_ms} ms is not finite")


class JsonTarget(Target):
    """A target whose input is one JSON document."""

    def base_document(self, rng: random.Random) -> object:
        """Return the parsed document that ``generate`` changes."""
        raise NotImplementedError

    def generate(self, rng: random.Random) -> bytes:
        """Return the base document with up to two changes."""
        tree = self.base_document(rng)
        for _ in range(rng.choice((0, 1, 1, 2))):
            tree = mutate_tree(
                tree, rng, [*EDGE_NUMBERS, *EDGE_STRINGS, *EDGE_FLOATS, None, True, DEEP_LIST, {}]
            )
        return json.dumps(tree).encode()

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the document with its parsed value or its bytes changed, or with deep nesting."""
        if rng.random() < 0.1:
            return b'{"a":' * 3000 + data if rng.random() < 0.5 else b"[" * 90_000
        if rng.random() < 0.7:
            try:
                tree = json.loads(data)
                return json.dumps(
                    mutate_tree(tree, rng, [*EDGE_NUMBERS, *EDGE_STRINGS, *EDGE_FLOATS, None, DEEP_LIST, {}])
                ).encode()
            except (ValueError, RecursionError):
                pass
        return mutate_bytes(data, rng)


class ConfigFileTarget(JsonTarget):
    """The configuration file that the platform writes."""

    name = "config"
    modules = ("cedarthread.config",)
    line_budget = Budget(60_000, 400)
    byte_budget = Budget(4 * 2**20, 400)

    def base_document(self, rng: random.Random) -> dict[str, Any]:
        """Return a complete configuration."""
        entry = {
            "name": "s-00000001",
            "address": "10.0.0.1:5050",
            "zone": "room-a",
            "type": "std",
            "status": "ready",
        }
        return {
            "name": "n1",
            "listen": "127.0.0.1:5050",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "dns": "127.0.0.1:5300",
            "known": {
                "n": 1,
                "events": [{"n": 1, "members": {"endpoints": [entry | {"group": 1, "since_ms": 0}]}}],
            },
            "settings": fuzz_settings.settings(preloads_on_miss=rng.random() < 0.5),
        }

    def generate(self, rng: random.Random) -> bytes:
        """Return a configuration, in most cases with a change in its settings, which hold most numbers."""
        if rng.random() < 0.4:
            return super().generate(rng)
        tree = self.base_document(rng)
        settings = tree["settings"]
        if rng.random() < 0.5:
            table = rng.choice((*settings["classes"], settings["limits"], settings["obligations"]))
            number = rng.choice(EDGE_FLOATS)
            key = rng.choice([key for key, value in table.items() if not isinstance(value, str)])
            table[key] = number
            return json.dumps(tree).encode()
        section = rng.choice(("classes", "limits", "obligations", "specifics", "report", "prices"))
        settings[section] = mutate_tree(
            settings[section], rng, [*EDGE_NUMBERS, *EDGE_STRINGS, *EDGE_FLOATS, None, True, {}]
        )
        return json.dumps(tree).encode()

    def check(self, data: bytes) -> None:
        """Check that the parser raises only ``ConfigError``, and that accepted settings can be served."""
        try:
            parsed = config.decode(data, {})
        except config.ConfigError as error:
            require(bool(str(error)), "rejected without an error message")
            return
        for host, port in ((parsed.host, parsed.port), parsed.discovery_address or ("", 1)):
            require(isinstance(host, str) and 0 <= port < 65536, f"port {port} or its host is invalid")
        for _, records in parsed.initial_endpoints:
            for record in records:
                is_finite = math.isfinite(record.started_at_ms) and math.isfinite(record.weight)
                require(0 <= record.port < 65536, f"worker port {record.port} is out of range")
                require(is_finite, "start time or weight of a worker is not finite")
        exercise_settings(parsed.settings)


class InvokeConfigTarget(Target):
    """The TOML configuration file of the invoke API."""

    name = "invoke-file"
    modules = ("cedarthread.protocols.invoke.config",)
    line_budget = Budget(60_000, 800)

    def generate(self, rng: random.Random) -> bytes:
        """Return a file like the shipped one, with edge cases of numbers, addresses and SPIFFE IDs."""
        connections = rng.choice(
            ("128", "1", "0", "-1", "inf", "nan", "1e308", "9" * 30, '"x"', "[]", "true")
        )
        allow = rng.choice(
            ('"spiffe://gaz.example/desk/*"', '"spiffe://gaz.example"', '"*"', "7", '"' + "a" * 3000 + '"')
        )
        listen = rng.choice(("127.0.0.1:8443", "127.0.0.1:99999", "x", ":", "[::1]:1", "h:-1"))
        lines = [f'listen = "{listen}"', 'trust_domain = "gaz.example"', f"allow = [{allow}]"]
        lines += ['svid = "a.pem"', 'key = "k.pem"', 'bundle = "b.pem"', f"connections = {connections}"]
        return ("[invoke]\n" + "\n".join(lines)).encode()

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the file with changed bytes, or a file with nested tables or arrays."""
        if rng.random() < 0.1:
            return b"a = " + rng.choice((b"[", b"{a=", b"[{a=")) * rng.choice((50, 3000))
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """Check that the parser raises only ``ValueError``, and that accepted numbers are bounded."""
        try:
            parsed = invoke_config.parse(data, Path("deploy/invoke.toml"))
        except ValueError as error:
            require(bool(str(error)), "rejected without an error message")
            return
        require(0 <= parsed.port < 65536, f"port {parsed.port} is out of range")
        require(
            0 < parsed.max_connections < 2**31, f"connection limit {parsed.max_connections} is out of range"
        )
