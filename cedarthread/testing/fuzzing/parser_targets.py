"""Targets without a connection: each takes bytes and returns a value, never an exception, in bounded work."""

from __future__ import annotations

import io
import json
import math
import random
import struct
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgpack as reference

from cedarthread import config
from cedarthread.model.actions import SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, RequestArrived
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings
from cedarthread.protocols import discovery, dns, http, invoke_config, msgpack
from cedarthread.routing.router import Router
from cedarthread.simulator import host as simulator_host
from cedarthread.simulator.decoder import SimulatorProtocolError
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.target import (
    EDGE_NUMBERS,
    EDGE_STRINGS,
    Finding,
    Target,
    mutate_bytes,
    mutate_tree,
)

NOT_A_NUMBER, INFINITY = float("nan"), float("inf")
EDGE_FLOATS = [NOT_A_NUMBER, INFINITY, -INFINITY, 1e308, -0.0, 5e-324, 0.5]
DEEP_LIST: Any = []
for _ in range(40):
    DEEP_LIST = [DEEP_LIST]


def require(holds: bool, what: str) -> None:
    """A finding unless it holds."""
    if not holds:
        raise Finding(what)


def sample_cuts(rng: random.Random, data: bytes, most: int = 12) -> list[int]:
    """Places to cut at: all of a short input, some of a long one."""
    return list(range(len(data))) if len(data) <= most else sorted(rng.sample(range(len(data)), most))


class _MapItems(list[Any]):
    """A map as the reference reads it, keys that come twice and all."""


def _tree(value: Any) -> Any:
    """A value as this program's parser would give it, or what it would not take: a string that says why."""
    if isinstance(value, _MapItems):
        keys = [key for key, _ in value]
        if not all(isinstance(key, str) for key in keys) or len(set(keys)) < len(keys):
            raise ValueError("keys")
        return {key: _tree(item) for key, item in value}
    if isinstance(value, list):
        return [_tree(item) for item in value]
    if isinstance(value, (reference.ExtType, reference.Timestamp)):
        raise ValueError("extension")
    return value


def _depth(value: Any) -> int:
    items = value.values() if isinstance(value, dict) else value if isinstance(value, list) else None
    return 0 if items is None else 1 + max(map(_depth, items), default=0)


def _widest(value: Any) -> int:
    if isinstance(value, (str, bytes)):
        return 0
    items = list(value.values()) if isinstance(value, dict) else value if isinstance(value, list) else []
    return max([len(items), *map(_widest, items)])


def _longest(value: Any) -> int:
    if isinstance(value, (str, bytes)):
        return len(value.encode() if isinstance(value, str) else value)
    items = list(value.values()) if isinstance(value, dict) else value if isinstance(value, list) else []
    return max(map(_longest, items), default=0)


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    return bytes(value) if isinstance(value, memoryview) else value


def generate_value(rng: random.Random, depth: int) -> Any:
    """A value of a few levels."""
    kind = rng.randrange(10 if depth else 7)
    if kind == 9:
        return {
            rng.choice(("a", "limit", "txn", "x" * 31, "y" * 32)): generate_value(rng, depth - 1)
            for _ in range(3)
        }
    if kind >= 7:
        return [generate_value(rng, depth - 1) for _ in range(rng.choice((0, 1, 2, 15, 16, 33)))]
    plain = (
        None,
        rng.random() < 0.5,
        rng.choice(EDGE_NUMBERS[:-2]),
        rng.choice(EDGE_FLOATS),
        rng.choice(EDGE_STRINGS),
    )
    return (*plain, rng.randbytes(rng.choice((0, 1, 255, 256, 70_000))), "t" * rng.choice((31, 32, 300)))[
        kind
    ]


class MessagePackTarget(Target):
    """MessagePack values, against the reference library."""

    name = "msgpack"
    modules = ("cedarthread.protocols.msgpack",)
    byte_budget = (2**20, 400)

    def generate(self, rng: random.Random) -> bytes:
        """A value, whole or with a code that is not used."""
        if rng.random() < 0.1:
            return bytes((rng.choice((0x81, 0x91, 0xDC, 0xDE, 0xC7, 0xC1)),)) * rng.choice((5, 300, 3000))
        value = generate_value(rng, rng.randint(0, 5))
        try:
            return bytes(reference.packb(value, use_single_float=rng.random() < 0.3))
        except (OverflowError, UnicodeEncodeError):
            return bytes(reference.packb([value is None]))

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly the tree, so that the lengths hold."""
        if rng.random() < 0.6:
            try:
                tree = reference.unpackb(data, raw=False, strict_map_key=False)
                return bytes(
                    reference.packb(
                        mutate_tree(tree, rng, [*EDGE_NUMBERS[:-2], *EDGE_STRINGS, b"", DEEP_LIST, {}])
                    )
                )
            except (ValueError, TypeError, OverflowError, RecursionError):
                pass
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """Same value as the reference; any cut of it is short, and says how much is needed."""
        parsed = msgpack.parse(memoryview(data))
        room = max(1024, len(data))
        unpacker = reference.Unpacker(
            raw=False, strict_map_key=False, object_pairs_hook=_MapItems, read_size=1024, max_buffer_size=room
        )
        unpacker.feed(data)
        try:
            truth, end = _tree(unpacker.unpack()), unpacker.tell()
        except (ValueError, TypeError, RecursionError, reference.OutOfData, reference.StackError):
            return require(not isinstance(parsed, msgpack.ParsedValue), "took what is no value")
        if isinstance(parsed, msgpack.ParsedValue):
            require(_longest(truth) <= msgpack.MAX_CONTENT_BYTES, "a string past the limit is taken")
            require(
                repr(_plain(parsed.value)) == repr(truth) and parsed.end == end, "another value than it is"
            )
            return self._cuts(data[:end])
        require(not isinstance(parsed, msgpack.Incomplete), "a whole value is said to be short")
        long = end > msgpack.MAX_CONTENT_BYTES
        small = _depth(truth) <= msgpack.MAX_DEPTH and _widest(truth) <= msgpack.MAX_ITEMS
        require(not small or long, f"a value within the limits is refused: {parsed}")

    def _cuts(self, data: bytes) -> None:
        for at in sample_cuts(random.Random(len(data)), data):
            short = msgpack.parse(memoryview(data)[:at])
            require(isinstance(short, msgpack.Incomplete), f"cut at {at} it is not short: {short}")
            if isinstance(short, msgpack.Incomplete):
                require(
                    at < short.needed_bytes <= len(data),
                    f"cut at {at} it says it needs {short.needed_bytes} of {len(data)}",
                )


def pack_reply(reply: dns.Reply, names: Sequence[str] = (), *, flags: int = 0x8400) -> bytes:
    """A reply as a server writes it, names compressed where they stood before."""
    out = bytearray(struct.pack(">6H", reply.query_id, flags, 0, 0, 0, 0))
    seen: dict[str, int] = {}

    def name(text: str) -> None:
        while text:
            if text in seen:
                out.extend(struct.pack(">H", 0xC000 | seen[text]))
                return
            if len(out) < 0x4000:
                seen[text] = len(out)
            label, _, text = text.partition(".")
            out.extend(bytes((len(label),)) + label.encode())
        out.append(0)

    def record(owner: str, kind: int, data: bytes, target: str | None = None) -> None:
        name(owner)
        out.extend(struct.pack(">HHIH", kind, 1, 5, 0))
        start = len(out)
        out.extend(data)
        if target is not None:
            name(target)
        struct.pack_into(">H", out, start - 2, len(out) - start)

    for service in reply.srv_records:
        record(
            discovery.SERVICE_NAME,
            dns.TYPE_SRV,
            struct.pack(">3H", service.priority, service.weight, service.port),
            service.target,
        )
    for owner, address in reply.addresses.items():
        record(owner, dns.TYPE_A, bytes(int(part) for part in address.split(".")))
    for owner, pairs in reply.texts.items():
        texts = [f"{key}={value}".encode()[:255] for key, value in pairs.items()]
        record(owner, dns.TYPE_TXT, b"".join(bytes((len(text),)) + text for text in texts))
    records = len(reply.srv_records) + len(reply.addresses) + len(reply.texts)
    if reply.serial is not None:
        data = b"\x01n\0\x01m\0" + struct.pack(">5I", reply.serial, 1, 1, 1, 1)
        record("lan", dns.TYPE_SOA, data)
    struct.pack_into(">3H", out, 6, records, int(reply.serial is not None), 0)
    return bytes(out)


def generate_reply(rng: random.Random, workers: int) -> dns.Reply:
    """A reply with so many workers, figures odd here and there."""
    reply = dns.Reply(rng.randrange(2**16), rng.choice((0, 1, 7, 2**31, 2**32 - 1)))
    for n in range(workers):
        target = f"s-{rng.choice((n, n, 1)):08x}.room-{rng.choice('ab')}.hosts"
        reply.srv_records.append(
            dns.SrvRecord(rng.randrange(3), rng.choice((0, 10, 65535)), rng.choice((0, 5050)), target)
        )
        reply.addresses[target] = f"10.0.0.{n % 256}"
        odd = rng.random() < 0.2
        reply.texts[target] = {"kind": "std", "cell": rng.choice(EDGE_STRINGS)[:80] if odd else "2"}
        reply.texts[target]["started"] = (
            rng.choice(EDGE_STRINGS)[:80] if odd else str(rng.choice((0, 1764600000000)))
        )
    return reply


class DnsTarget(Target):
    """DNS answers."""

    name = "dns"
    modules = ("cedarthread.protocols.dns",)
    line_budget = (20_000, 120)

    def generate(self, rng: random.Random) -> bytes:
        """An answer of some workers, or one made of pointers."""
        if rng.random() < 0.15:
            hops = rng.choice((3, 300, 2000))
            chain = b"".join(struct.pack(">H", 0xC000 | (21 + 2 * n if n else 12)) for n in range(hops))
            last = struct.pack(">H", 0xC000 | 21 + 2 * hops)  # the chain begins at byte 23, after a root name
            records = (last + struct.pack(">HHIH", 99, 1, 1, 0)) * rng.choice((1, 400))
            head = struct.pack(">6H", 1, 0x8400, 0, 1 + len(records) // 12, 0, 0)
            return head + b"\0" + struct.pack(">HHIH", 99, 1, 1, len(chain)) + chain + records
        data = bytearray(pack_reply(generate_reply(rng, rng.choice((0, 1, 3, 60)))))
        pointers = [at for at in range(12, len(data) - 1) if data[at] >= 0xC0]
        if pointers and rng.random() < 0.2:  # one leads to itself, or to what comes after it
            at = rng.choice(pointers)
            struct.pack_into(">H", data, at, 0xC000 | min(0x3FFF, at + rng.choice((0, 0, 2, 12))))
        return bytes(data)

    def check(self, data: bytes) -> None:
        """What it reads it reads again the same, and every name is one that DNS allows."""
        reply = dns.parse(data)
        if isinstance(reply, dns.UnusableReply):
            return
        found = discovery.endpoints_from_reply(reply)
        if not isinstance(found, str):
            for listing in found:
                require(math.isfinite(listing.started_at_ms), f"a start at {listing.started_at_ms}")
            require(len({listing.name for listing in found}) == len(found), "a worker is listed twice")
        names = [*(service.target for service in reply.srv_records), *reply.addresses, *reply.texts]
        for name in names:
            require(len(name) <= 253, f"a name of {len(name)} characters")
        if all(name.split(".") == [label for label in name.split(".") if label] for name in names):
            again = dns.parse(pack_reply(reply))
            if isinstance(again, dns.Reply) and len(pack_reply(reply)) < 0x4000:
                require(again.srv_records == reply.srv_records, "read another list from what it had read")


class HttpHeadTarget(Target):
    """Heads of HTTP requests."""

    name = "http"
    modules = ("cedarthread.protocols.http",)
    line_budget = (20_000, 800)

    def generate(self, rng: random.Random) -> bytes:
        """A request, its body a little longer or shorter than it says."""
        return generate_request(rng)

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Lines swapped, doubled or changed; mostly the blank line stays."""
        head, blank, body = data.partition(b"\r\n\r\n")
        if rng.random() < 0.4 or not blank:
            return mutate_bytes(data, rng)
        lines = head.split(b"\r\n")
        at = rng.randrange(len(lines))
        match rng.randrange(4):
            case 0:
                lines.insert(at, lines[rng.randrange(len(lines))])
            case 1 if len(lines) > 1:
                del lines[at]
            case 2:
                lines.insert(max(1, at), rng.choice(EDGE_HEADERS))
            case _:
                lines[at] = mutate_bytes(lines[at], rng)
        return b"\r\n".join(lines) + blank + body

    def check(self, data: bytes) -> None:
        """Nothing that two readers could take in two ways passes."""
        parsed = http.parse_head(memoryview(data), 16 * 1024)
        if not isinstance(parsed, http.RequestHead):
            return
        head = data[: parsed.head_bytes]
        require(head.endswith(b"\r\n\r\n") and head.count(b"\r\n\r\n") == 1, "the head ends elsewhere")
        bare = head.replace(b"\r\n", b"")
        require(not any(mark in bare for mark in (b"\r", b"\n", b"\0")), "a bare line end or NUL passed")
        names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:-2]]
        require(b"transfer-encoding" not in names, "Transfer-Encoding passed")
        require(names.count(b"content-length") <= 1, "two lengths passed")
        require(not any(name != name.strip() for name in names), "white space round a field's name passed")
        require(0 <= parsed.content_length <= 16 * 1024, f"a body of {parsed.content_length} bytes passed")
        for at in sample_cuts(random.Random(len(head)), head):
            require(
                not isinstance(http.parse_head(memoryview(head)[:at], 16 * 1024), http.RequestHead),
                f"cut at {at} it is whole",
            )
        parsed.preferences()


EDGE_HEADERS = [b"Content-Length: 1", b"content-length:1", b"Content-Length: +1", b"Content-Length: 1_0"]
EDGE_HEADERS += [
    b"Content-Length: \xd9\xa3",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding : chunked",
    b" folded: x",
]
EDGE_HEADERS += [
    b"Connection: close",
    b"Expect: 100-continue",
    b"Prefer: respond-async, wait=5",
    b"Host: b",
    b": x",
]
EDGE_HEADERS += [
    b"Idempotency-Key: k1",
    b"Call-Lanes: nan",
    b"Call-Lanes: 1e999",
    b"Call-Timeout-Ms: 99999999999",
]
EDGE_HEADERS += [b"Content-Length: " + b"9" * 5000, b"X: " + b"y" * 9000, b"Call-Memory-Mb: -0"]


def generate_request(rng: random.Random) -> bytes:
    """One request of the invoke API."""
    body = rng.randbytes(rng.choice((0, 0, 3, 300)))
    klass = rng.choice(("check", "revise", "confirm", "none", "a%2e"))
    target = rng.choice(
        (f"/v1/functions/{'ab' * 8}/{klass}", "/v1/calls/abc", "/v1/ready", "/v1/functions/x/y")
    )
    method = rng.choice(("POST", "POST", "GET", "DELETE", "PUT"))
    fields = [b"Host: a", b"Content-Length: %d" % (len(body) + rng.choice((0, 0, 0, 0, 1)))]
    fields += rng.sample(EDGE_HEADERS, rng.choice((0, 0, 1, 2)))
    rng.shuffle(fields)
    version = rng.choice((b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0"))
    start = f"{method} {target} ".encode() + version
    return b"\r\n".join((start, *fields, b"", b"")) + body


def exercise_settings(settings: RouterSettings) -> None:
    """Settings that were taken must serve: one call of each class, and timers at times that are times."""
    router = Router(settings, 1)
    workers = tuple(Endpoint(n, 0, 0, 0, EndpointState.READY, None, None) for n in (1, 2))
    actions = router.handle(1000.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, workers))
    for klass, told in enumerate(settings.classes[:8]):
        require(math.isfinite(told.deadline_ms) and told.deadline_ms > 0, f"a deadline of {told.deadline_ms}")
        actions = actions + router.handle(1001.0, RequestArrived(klass, 7, klass, 1001.0 + told.deadline_ms))
        for send in [a for a in actions if isinstance(a, StartAttempt) and a.request_id == klass]:
            router.handle(1002.0, AttemptEnded(klass, 0, send.worker_id, Outcome.ERROR, 1.0, False))
    for timer in [a for a in actions if isinstance(a, SetTimer)]:
        require(math.isfinite(timer.at_ms), f"a timer at {timer.at_ms}")


class JsonTarget(Target):
    """Inputs that are one JSON text."""

    def base_document(self, rng: random.Random) -> Any:
        """The parsed text that drawing starts from."""
        raise NotImplementedError

    def generate(self, rng: random.Random) -> bytes:
        """The usual text, with no change or a few."""
        tree = self.base_document(rng)
        for _ in range(rng.choice((0, 1, 1, 2))):
            tree = mutate_tree(
                tree, rng, [*EDGE_NUMBERS, *EDGE_STRINGS, *EDGE_FLOATS, None, True, DEEP_LIST, {}]
            )
        return json.dumps(tree).encode()

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly the tree."""
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
    """The configuration that the platform writes."""

    name = "config"
    modules = ("cedarthread.config",)
    line_budget = (60_000, 400)
    byte_budget = (4 * 2**20, 400)

    def base_document(self, rng: random.Random) -> Any:
        """A whole configuration."""
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
            "settings": drawn_settings.settings(preloads_on_miss=rng.random() < 0.5),
        }

    def generate(self, rng: random.Random) -> bytes:
        """Mostly the settings changed: most figures stand there."""
        if rng.random() < 0.4:
            return super().generate(rng)
        tree = self.base_document(rng)
        settings = tree["settings"]
        if rng.random() < 0.5:
            place = rng.choice((*settings["classes"], settings["limits"], settings["obligations"]))
            place[rng.choice([key for key, value in place.items() if not isinstance(value, str)])] = (
                rng.choice(EDGE_FLOATS)
            )
            return json.dumps(tree).encode()
        part = rng.choice(("classes", "limits", "obligations", "specifics", "report", "prices"))
        settings[part] = mutate_tree(
            settings[part], rng, [*EDGE_NUMBERS, *EDGE_STRINGS, *EDGE_FLOATS, None, True, {}]
        )
        return json.dumps(tree).encode()

    def check(self, data: bytes) -> None:
        """Taken or refused with its one error; what is taken can be served."""
        try:
            found = config.decode(data, {})
        except config.ConfigError as error:
            return require(bool(str(error)), "an error without words")
        for host, port in ((found.host, found.port), found.discovery_address or ("", 1)):
            require(isinstance(host, str) and 0 <= port < 65536, f"port {port}")
        for _, listings in found.initial_endpoints:
            for listing in listings:
                require(0 <= listing.port < 65536, f"a runner at port {listing.port}")
                require(
                    math.isfinite(listing.started_at_ms) and math.isfinite(listing.weight),
                    "a figure that is none",
                )
        exercise_settings(found.settings)


class InvokeConfigTarget(Target):
    """The invoke API's TOML file."""

    name = "invoke-file"
    modules = ("cedarthread.protocols.invoke_config",)
    line_budget = (60_000, 800)

    def generate(self, rng: random.Random) -> bytes:
        """The file as it is shipped, its figures and ids now and then odd."""
        figure = rng.choice(("128", "1", "0", "-1", "inf", "nan", "1e308", "9" * 30, '"x"', "[]", "true"))
        allow = rng.choice(
            ('"spiffe://gaz.example/desk/*"', '"spiffe://gaz.example"', '"*"', "7", '"' + "a" * 3000 + '"')
        )
        listen = rng.choice(("127.0.0.1:8443", "127.0.0.1:99999", "x", ":", "[::1]:1", "h:-1"))
        lines = [f'listen = "{listen}"', 'trust_domain = "gaz.example"', f"allow = [{allow}]"]
        lines += ['svid = "a.pem"', 'key = "k.pem"', 'bundle = "b.pem"', f"connections = {figure}"]
        return ("[invoke]\n" + "\n".join(lines)).encode()

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Bytes, or nests too deep."""
        if rng.random() < 0.1:
            return b"a = " + rng.choice((b"[", b"{a=", b"[{a=")) * rng.choice((50, 3000))
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """Taken or refused by ValueError alone."""
        try:
            found = invoke_config.parse(data, Path("deploy/invoke.toml"))
        except ValueError as error:
            return require(bool(str(error)), "an error without words")
        require(0 <= found.port < 65536, f"port {found.port}")
        require(0 < found.max_connections < 2**31, f"{found.max_connections} connections")


class SimulatorTarget(Target):
    """The simulator's frames, answered by the host of many instances."""

    name = "wire"
    modules = (
        "cedarthread.settings_parser",
        "cedarthread.simulator.decoder",
        "cedarthread.simulator.encoder",
        "cedarthread.simulator.host",
    )
    line_budget = (80_000, 800)
    byte_budget = (4 * 2**20, 400)

    def generate(self, rng: random.Random) -> bytes:
        """A start, a list of workers, and events of all kinds."""
        info = json.dumps(drawn_settings.settings(preloads_on_miss=rng.random() < 0.3)).encode()
        records = [b"\x0d" + struct.pack("<I", 3), b"\x01" + struct.pack("<QI", 7, len(info)) + info]
        hosts = [struct.pack("<IBHHBfd", n, 0, 0, 0, rng.choice((0, 1, 2, 2)), 1.0, 0.0) for n in range(3)]
        records.append(b"\x0c" + struct.pack("<II", 1, len(hosts)) + b"".join(hosts))
        records.append(b"\x02" + struct.pack("<BQI", rng.choice((1, 2, 3, 4)), 1, 1))
        for _ in range(rng.randrange(8)):
            records.append(self._event(rng))
        return self.frame(rng.choice((0.0, 1000.0, 1e308)), len(records), b"".join(records))

    def _event(self, rng: random.Random) -> bytes:
        number, figure = rng.choice((0, 1, 2, 2**32 - 1)), rng.choice((*EDGE_FLOATS, 100.0, 1e6))
        klass, key = rng.choice((0, 1, 2, 9)), rng.choice((5, 2**40 - 1, 2**64 - 1))
        verdict = rng.choice((200, 502, 429, 408, 521, 520, 444, 409, 204, 7))
        small = rng.choice((0.0, 1.0, NOT_A_NUMBER, INFINITY))
        return rng.choice(
            (
                b"\x03"
                + struct.pack("<IfdQHffdHH", number, small, figure, key, klass, small, small, figure, 0, 3),
                b"\x04" + struct.pack("<IHId", number, 0, number, figure),
                b"\x05" + struct.pack("<IIdIHHB", number, 1, figure, 9, 0, verdict, 0) + b"\0",
                b"\x06" + struct.pack("<I", number),
                b"\x07" + struct.pack("<I", number),
                b"\x08" + struct.pack("<dIH", figure, 1, verdict) + b"\x01" + struct.pack("<f", small),
                b"\x09" + struct.pack("<IH", 1, 2) + b"ab",
                b"\x0b" + struct.pack("<BIQHd", 1, 1, key, verdict, figure),
                b"\x0a",
            )
        )

    def frame(self, now: float, count: int, body: bytes) -> bytes:
        """A frame with its header."""
        return struct.pack("<IdI", 16 + len(body), now, count) + body

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """The length that the frame says stays right, mostly."""
        changed = mutate_bytes(data, rng)
        if rng.random() < 0.85 and len(changed) >= 16:
            changed = struct.pack("<I", len(changed)) + changed[4:]
        return changed

    def check(self, data: bytes) -> None:
        """Answered with a whole frame, or refused by WireError."""
        host, source = simulator_host.SimulatorHost(), io.BytesIO(data)
        try:
            while (frame := simulator_host.read_frame(source)) is not None:
                reply = host.handle_frame(frame)
                require(struct.unpack_from("<I", reply)[0] == len(reply), "a reply that says another length")
        except SimulatorProtocolError as error:
            require(bool(str(error)), "an error without words")
