"""Stand-ins and helpers of the cases of the second review; only the standard library is used.

Workers and discovery run on one event loop in a thread of the case. Clients are plain sockets.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LINE_LIMIT = 2**20


def trouble() -> bool:
    """Return whether the disruption of the case is wanted (TROUBLE=0 switches it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free loopback port."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file record.txt of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line, with the seconds since the start of the case."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


# MessagePack, as far as the clients' protocol needs it.


class NeedMoreError(Exception):
    """The message isn't whole yet."""


def pack(value: object) -> bytes:
    """Encode a value."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return bytes((value,)) if value < 128 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        return b"\xda" + struct.pack(">H", len(raw)) + raw
    if isinstance(value, bytes):
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, list):
        return b"\xdc" + struct.pack(">H", len(value)) + b"".join(map(pack, value))
    assert isinstance(value, dict)
    pairs = b"".join(pack(key) + pack(entry) for key, entry in value.items())
    return b"\xde" + struct.pack(">H", len(value)) + pairs


def _take(data: bytes, at: int, count: int) -> tuple[bytes, int]:
    if at + count > len(data):
        raise NeedMoreError
    return data[at : at + count], at + count


_UINT_BYTES = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_RAW_BYTES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
_LIST_BYTES = {0xDC: 2, 0xDD: 4}
_MAP_BYTES = {0xDE: 2, 0xDF: 4}
_SINGLE = {0xC0: None, 0xC2: False, 0xC3: True}


def unpack(data: bytes, at: int = 0) -> tuple[Any, int]:
    """Decode the value at an offset; return it with the offset of its end."""
    head, at = _take(data, at, 1)
    code = head[0]
    if code < 0x80:
        return code, at
    if code in _SINGLE:
        return _SINGLE[code], at
    if code in _UINT_BYTES:
        raw, at = _take(data, at, _UINT_BYTES[code])
        return int.from_bytes(raw, "big"), at
    if code in _RAW_BYTES or 0xA0 <= code < 0xC0:
        size = code & 0x1F
        if code in _RAW_BYTES:
            raw, at = _take(data, at, _RAW_BYTES[code])
            size = int.from_bytes(raw, "big")
        raw, at = _take(data, at, size)
        return (raw if code in (0xC4, 0xC5, 0xC6) else raw.decode()), at
    return _unpack_collection(data, at, code)


def _unpack_collection(data: bytes, at: int, code: int) -> tuple[Any, int]:
    is_map = code in _MAP_BYTES or 0x80 <= code < 0x90
    count = code & 0x0F
    size_bytes = _MAP_BYTES.get(code) or _LIST_BYTES.get(code)
    if size_bytes:
        raw, at = _take(data, at, size_bytes)
        count = int.from_bytes(raw, "big")
    elif not 0x80 <= code < 0xA0:
        raise ValueError(f"code {code:#x}")
    values = []
    for _ in range(count * (2 if is_map else 1)):
        value, at = unpack(data, at)
        values.append(value)
    return (dict(zip(values[::2], values[1::2], strict=True)) if is_map else values), at


def call_message(number: int, request: Request) -> bytes:
    """Encode a client's request."""
    return pack([0, number, request.class_name, [request.fields(), request.body]])


@dataclass
class Request:
    """One request of a client, and what came of it."""

    class_name: str
    function: str
    limit_ms: int = 5000
    body: bytes = b"x"
    key: str | None = None
    is_retry: bool = False
    txn: str = field(default_factory=lambda: secrets.token_hex(8))

    def fields(self) -> dict[str, str]:
        """Return the fields of the request."""
        fields = {"txn": self.txn, "limit": str(self.limit_ms), "item": self.function}
        fields["props"] = "memory_mb:2000;lanes:8"
        if self.key is not None:
            fields["unique"] = self.key
        if self.is_retry:
            fields["second"] = "1"
        return fields


def outcome_of(message: list[Any]) -> str:
    """Return served, refused, or failed for an answer."""
    error = message[2]
    if error is None:
        return "served"
    return "refused" if error[0] == "Backoff" else "failed"


# Workers and discovery.


@dataclass(eq=False)
class WorkerConnection:
    """One connection of a router to a worker."""

    worker: Worker
    writer: asyncio.StreamWriter
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def answer(self, message: dict[str, Any]) -> None:
        """Send one line."""
        if not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")


class Worker:
    """A worker that runs each call for some time and answers ``HIT``; cases override ``run``."""

    def __init__(self, stage: Stage, name: str, zone: str = "room-a", work_ms: float = 100.0) -> None:
        self.stage = stage
        self.name = name
        self.zone = zone
        self.work_ms = work_ms
        self.port = 0
        self.status = "ready"
        self.connections: set[WorkerConnection] = set()
        self.runs: list[tuple[float, str]] = []  # time and id of each call that was begun
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=LINE_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = WorkerConnection(self, writer)
        self.connections.add(connection)
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                self.on_message(connection, json.loads(line))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in connection.tasks.values():
                task.cancel()
            self.connections.discard(connection)
            writer.close()

    def on_message(self, connection: WorkerConnection, message: dict[str, Any]) -> None:
        """Handle one line of a router."""
        op, message_id = message["op"], str(message["id"])
        if op == "CALL":
            self.runs.append((time.time(), message_id))
            self.stage.record.add(f"{self.name} runs {message_id}")
            connection.tasks[message_id] = asyncio.ensure_future(self._run(connection, message))
        elif op == "CANCEL":
            task = connection.tasks.pop(message_id, None)
            if task is not None:
                self.stage.record.add(f"{self.name} cancels {message_id}")
                task.cancel()
        elif op == "LOAD":
            pods = str(message["fields"]["pods"])
            connection.answer({"op": "HIT", "id": message_id, "fields": {"pods": pods}})
        elif op == "PING":
            connection.answer({"op": "PONG", "id": message_id})

    async def _run(self, connection: WorkerConnection, message: dict[str, Any]) -> None:
        try:
            await self.run(connection, message)
        finally:
            connection.tasks.pop(str(message["id"]), None)

    async def run(self, connection: WorkerConnection, message: dict[str, Any]) -> None:
        """Run one call and answer it."""
        await asyncio.sleep(self.work_ms / 1000.0)
        self.hit(connection, message, base64.b64decode(message["body"]))

    def hit(self, connection: WorkerConnection, message: dict[str, Any], body: bytes) -> None:
        """Answer a call with a body."""
        fields = {"remark": "hit", "report": f"inflight:{len(connection.tasks)};x1:0"}
        text = base64.b64encode(body).decode()
        connection.answer({"op": "HIT", "id": message["id"], "fields": fields, "body": text})

    def endpoint(self) -> dict[str, Any]:
        """Return the worker's entry in the configuration."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": "std-3core",
            "group": 1,
            "status": self.status,
            "weight": 1,
            "since_ms": 0,
        }


def _name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _dns_record(name: str, kind: int, data: bytes) -> bytes:
    return _name(name) + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


class Discovery(asyncio.DatagramProtocol):
    """The resolver: answers each query with the whole list."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.serial = 1
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a query."""
        assert self.transport is not None
        self.transport.sendto(self.reply(data), addr)

    def reply(self, query: bytes) -> bytes:
        """Return the answer with the whole list."""
        answers, others = [], []
        for worker in self.stage.workers:
            if worker.status == "gone":
                continue
            target = f"{worker.name}.{worker.zone}.hosts"
            priority = 0 if worker.status == "ready" else 1
            srv = struct.pack(">3H", priority, 10, worker.port) + _name(target)
            answers.append(_dns_record("_back._tcp.pool.lan", 33, srv))
            others.append(_dns_record(target, 1, bytes((127, 0, 0, 1))))
            texts = (b"kind=std-3core", b"cell=1", b"started=0")
            others.append(_dns_record(target, 16, b"".join(bytes((len(text),)) + text for text in texts)))
        soa = _name("ns.lan") * 2 + struct.pack(">5I", self.serial, 1, 1, 1, 1)
        authority = _dns_record("pool.lan", 6, soa)
        counts = struct.pack(">5H", 0x8400, 1, len(answers), 1, len(others))
        return query[:2] + counts + query[12:] + b"".join(answers) + authority + b"".join(others)


def settings(**changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a small deployment: one router, three rooms."""
    classes = [
        {"name": "check", "goal-time": 1200, "deadline": 5000, "effect": "retryable", "value": 2},
        {"name": "revise", "goal-time": 800, "deadline": 5000, "effect": "dedup", "value": 5},
        {"name": "confirm", "goal-time": 1500, "deadline": 5000, "effect": "fragile", "value": 5},
    ]
    for entry in classes:
        group = "zone" if entry["effect"] == "dedup" else "all"
        window = 3000 if entry["effect"] == "dedup" else 5000
        entry |= {"group": group, "repeat-window": window, "late-worth": 0.1, "stream": False}
    result: dict[str, Any] = {
        "balancers": 3,
        "blend": {"whole": 0.5, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.15},
        "callers": {"marks-retry": True},
        "classes": classes,
        "family": "warm",
        "kinds": ["std-3core"],
        "limits": {
            "cancel": True,
            "conn-idle": 30000,
            "connect-timeout": 250,
            "cpu-us-per-request": 0,
            "cpu-us-per-s": 500000,
            "max-retry-after": 500,
            "most-held": 20000,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": False,
            "send-cap": 4,
            "streams-per-conn": 32,
        },
        "localities": ["room-a", "room-b", "room-c"],
        "membership-mode": "push",
        "obligations": {
            "answer-slack": 8,
            "ask-every": 10000,
            "cold-from": 0.25,
            "fall": 2000,
            "overload-factor": 2.5,
            "stop-sending-within": 500,
            "warm-after": 17000,
        },
        "ordinal": 0,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.046, "late-fail": 0.05, "origin": 0.059, "probe": 0.01, "waste": 0.05},
        "quantum": 2,
        "report": {"columns": ["inflight", "x1"], "how": "answers"},
        "specifics": {
            "idle-price": 0,
            "keep-alive": 8700,
            "load-share": 0.2,
            "load-window": 5000,
            "loads-anyway": 4,
            "may-order": True,
            "memory-mb-by-kind": [51968],
            "notes-peers-in-hand": True,
            "on-miss": "load",
            "order-limit": 10000,
            "says-warm": True,
        },
        "stages": ["nom-workers"],
        "tenants": [],
        "tier": 0,
        "weight-source": "none",
        "worth-by": "request",
        "zone": 0,
    }
    return result | changes


class Stage:
    """Everything around the routers of one case: workers, discovery, processes, the temporary folder."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.workers: list[Worker] = []
        self.discovery = Discovery(self)
        self.discovery_port = free_port(socket.SOCK_DGRAM)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def do(self, work: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401
        """Run a coroutine on the loop of the workers and wait for it."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout=30)

    def start(self, workers: list[Worker]) -> None:
        """Start the workers and discovery."""
        self.workers = workers
        for worker in workers:
            self.do(worker.start())
        address = (HOST, self.discovery_port)
        self.do(self.loop.create_datagram_endpoint(lambda: self.discovery, local_addr=address))

    def config(self, name: str, port: int, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
        """Return the configuration of one router."""
        members = {"index": 1, "snapshot": True, "endpoints": [worker.endpoint() for worker in self.workers]}
        return {
            "name": name,
            "listen": f"{HOST}:{port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"{HOST}:{self.discovery_port}",
            "known": {"n": 1, "events": [{"n": 1, "members": members}]},
            "settings": settings(),
        } | changes

    def start_router(self, config: dict[str, Any], arguments: str = "") -> Router:
        """Start one router with the deploy file's command and wait until it is ready."""
        return Router(self, config, arguments)

    def close(self) -> None:
        """End all processes that the case started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        self.loop.call_soon_threadsafe(self._stop_loop)
        self._thread.join(timeout=5)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _stop_loop(self) -> None:
        self.loop.set_exception_handler(lambda *_: None)  # what the stop interrupts is of no interest
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.call_later(0.1, self.loop.stop)


class Router:
    """One process of the router."""

    def __init__(self, stage: Stage, config: dict[str, Any], arguments: str = "") -> None:
        self.stage = stage
        self.port = int(config["listen"].rpartition(":")[2])
        self.path = stage.folder / f"{config['name']}.json"
        self.path.write_text(json.dumps(config))
        self.log_path = stage.folder / f"{config['name']}.log"
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        temporary = stage.folder / f"{config['name']}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "BALANCER_CONFIG": str(self.path),
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_NAME": config["name"],
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{deploy['run']} {arguments}"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        stage.processes.append(self.process)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.stage.record.add(f"{signal.Signals(number).name} to the router")
        self.process.send_signal(number)

    def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until the router answers ``check`` with true."""
        give_up_at = time.monotonic() + limit_s
        while time.monotonic() < give_up_at and self.process.poll() is None:
            with contextlib.suppress(OSError), Client(self.port) as client:
                client.send(pack([0, 1, "check", [{}]]))
                message = client.receive(1.0)
                if message is not None and message[2] is None and message[3][0] is True:
                    return
            time.sleep(0.1)
        raise RuntimeError(f"the router isn't ready: {self.log_path.read_text()[-2000:]}")


class Client:
    """One connection of a client, with a blocking socket."""

    def __init__(self, port: int, prepare: Callable[[socket.socket], None] | None = None) -> None:
        self.sock = socket.socket()
        if prepare is not None:
            prepare(self.sock)
        self.sock.settimeout(5.0)
        self.sock.connect((HOST, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data = b""

    def __enter__(self) -> Client:
        """Return the client."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self.sock.close()

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def take(self) -> list[list[Any]]:
        """Return the whole messages received so far."""
        messages = []
        with contextlib.suppress(NeedMoreError):
            while self.data:
                message, end = unpack(self.data)
                messages.append(message)
                self.data = self.data[end:]
        return messages

    def receive(self, limit_s: float) -> list[Any] | None:
        """Return the next message; None at the end of the connection or of the time."""
        give_up_at = time.monotonic() + limit_s
        while True:
            with contextlib.suppress(NeedMoreError):
                if self.data:
                    message, end = unpack(self.data)
                    self.data = self.data[end:]
                    return list(message)
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                return None
            self.sock.settimeout(left_s)
            try:
                received = self.sock.recv(65536)
            except TimeoutError:
                return None
            if not received:
                return None
            self.data += received


def main(case: Callable[[Stage], int], folder: Path) -> None:
    """Run a case and exit with its verdict; 2 if it could not run."""
    stage = Stage(folder)
    verdict = NOT_RUN
    try:
        verdict = case(stage)
    except Exception as error:  # noqa: BLE001
        stage.record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        stage.close()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    stage.record.add(words[verdict])
    print(words[verdict])
    sys.exit(verdict)
