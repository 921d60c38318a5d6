"""The program itself, started as the platform starts it."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path
from typing import IO, TYPE_CHECKING

from cedarthread import __version__
from cedarthread.cli import main
from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.scripted import pack_call
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Iterator

    import pytest

ROOT = Path(__file__).parents[2]


def write_config(folder: Path) -> dict[str, str]:
    entry = {"name": "s-00c41f7a", "address": "127.0.0.1:1", "zone": "room-a", "type": "std"}
    entry |= {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}  # type: ignore[dict-item]
    events = [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": [entry]}}]
    config = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"n": 1, "events": events},
        "settings": SETTINGS,
    }
    (folder / "config.json").write_text(json.dumps(config))
    return {"BALANCER_CONFIG": str(folder / "config.json"), "BALANCER_NAME": "n3"}


@contextmanager
def started(folder: Path) -> Iterator[tuple[subprocess.Popen[str], IO[str]]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "cedarthread"],
        cwd=ROOT,
        env=os.environ | write_config(folder),
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    try:
        upto(process.stderr, r"serving router=n3 port=\d+")
        yield process, process.stderr
    finally:
        process.kill()
        process.stderr.close()


def upto(log: IO[str], pattern: str) -> None:
    """Read the log up to a line; where it ends without one, the program has ended."""
    assert any(re.search(pattern, line) for line in log), pattern


def test_it_serves_and_exits_with_0_on_sigterm(tmp_path: Path) -> None:
    with started(tmp_path) as (process, log):
        process.send_signal(signal.SIGTERM)
        rest = log.read()
        assert process.wait(10) == 0
        assert "shutdown_completed open_calls=0\n" in rest


def test_sighup_follows_a_new_discovery_address_and_never_ends_the_process(tmp_path: Path) -> None:
    """Without the invoke API it once did nothing, and the old resolver answers no more."""
    file = tmp_path / "config.json"
    with started(tmp_path) as (process, log), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as resolver:
        good = json.loads(file.read_text())
        file.write_text("{")
        process.send_signal(signal.SIGHUP)
        upto(log, "configuration_rejected error=")
        resolver.bind(("127.0.0.1", 0))
        resolver.settimeout(10)
        file.write_text(json.dumps(good | {"dns": f"127.0.0.1:{resolver.getsockname()[1]}"}))
        process.send_signal(signal.SIGHUP)
        assert b"_back" in resolver.recv(512)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0


def test_version_and_check_config(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["version"]) == 0
    assert capsys.readouterr().out.strip() == __version__
    for name, value in write_config(tmp_path).items():
        monkeypatch.setenv(name, value)
    assert main(["check-config"]) == 0
    assert "n3 on 127.0.0.1:0; classes check (safe), revise (keyed), confirm (unsafe); 1 runners" in (
        capsys.readouterr().out
    )
    assert main(["serve", "--invoke", str(tmp_path / "none.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err
    (tmp_path / "config.json").write_text("{}")
    assert main(["check-config"]) == 2
    monkeypatch.delenv("BALANCER_CONFIG")
    assert main([]) == 2


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def ask_control(port: int, line: bytes) -> str:
    with socket.create_connection(("127.0.0.1", port), timeout=10) as control:
        control.sendall(line)
        reply = b""
        while more := control.recv(4096):
            reply += more
    return reply.decode()


def ask_call(port: int, number: int) -> list[object]:
    """One call on a new connection; the answer, as the client reads it."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
        caller.sendall(pack_call(number, "check", b"x"))
        held = b""
        while not isinstance(parsed := msgpack.parse(memoryview(held)), msgpack.ParsedValue):
            more = caller.recv(65536)
            assert more, "the connection ended with no answer"
            held += more
        return list(parsed.value)


def test_an_upgrade_hands_the_address_to_a_second_process(tmp_path: Path) -> None:
    """DAYS.md: a second run on the same address with a new control address; SIGTERM to the old one."""
    listen, first_control, second_control = free_port(), free_port(), free_port()
    env = write_config(tmp_path) | {"BALANCER_LISTEN": f"127.0.0.1:{listen}"}

    def start(control: int) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "cedarthread"],
            cwd=ROOT,
            env=os.environ | env | {"BALANCER_CONTROL": f"127.0.0.1:{control}"},
            stderr=subprocess.PIPE,
            text=True,
        )
        assert process.stderr is not None
        upto(process.stderr, r"serving router=n3 port=\d+")
        return process

    old = start(first_control)
    try:
        assert ask_call(listen, 1)[:2] == [1, 1]  # answered: no runner is reached, so refused
        new = start(second_control)  # the same address: without SO_REUSEPORT it ends with 1
        try:
            assert ask_control(second_control, b"PING\n") == "YES\n"
            old.send_signal(signal.SIGTERM)
            assert old.wait(10) == 0
            for number in range(2, 6):
                assert ask_call(listen, number)[:2] == [1, number]
            assert ask_control(second_control, b"INFO\n").startswith("YES\n")
        finally:
            new.kill()
            assert new.stderr is not None
            new.stderr.close()
    finally:
        old.kill()
        assert old.stderr is not None
        old.stderr.close()


def test_an_upgraded_process_joins_its_peers_once_the_old_one_has_left_the_port(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old:
        old.bind(("127.0.0.1", 0))
        port = old.getsockname()[1]
        write_config(tmp_path)
        config = json.loads((tmp_path / "config.json").read_text())
        limits = config["settings"]["limits"] | {"peers": True}
        config["settings"] = config["settings"] | {"balancers": 2, "ordinal": 0, "limits": limits}
        config |= {"peer_listen": f"127.0.0.1:{port}", "peers": [f"127.0.0.1:{port}", "127.0.0.1:1"]}
        (tmp_path / "config.json").write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "cedarthread"],
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "config.json")},
            stderr=subprocess.PIPE,
            text=True,
        )
        assert process.stderr is not None
        try:
            upto(process.stderr, "peer_listen_failed address=")
            old.close()
            upto(process.stderr, "gossip_started peers=2 ")
        finally:
            process.kill()
            process.stderr.close()
