"""Router processes that are started and stopped as the platform does it."""

from __future__ import annotations

import json
import signal
import socket
from typing import TYPE_CHECKING

from cedarthread import __version__
from cedarthread.cli import main
from tests.integration.router_process import (
    SERVING_PATTERN,
    free_port,
    kill_router,
    log_stream,
    send_call,
    send_command,
    serving_router,
    start_router,
    terminate,
    wait_for_log_line,
    write_config,
)

if TYPE_CHECKING:
    import subprocess
    from pathlib import Path

    import pytest


def test_the_program_serves_and_exits_with_0_on_sigterm(tmp_path: Path) -> None:
    with serving_router(tmp_path) as (process, log):
        process.send_signal(signal.SIGTERM)
        log_until_end = log.read()
        assert process.wait(10) == 0
        assert "shutdown_completed open_calls=0\n" in log_until_end


def test_sighup_reloads_the_discovery_address_and_never_ends_the_process(tmp_path: Path) -> None:
    """Guards against a SIGHUP that is ignored where the invoke API is off.

    The router then kept polling a discovery server that had ended.
    """
    config_path = tmp_path / "config.json"
    with (
        serving_router(tmp_path) as (process, log),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as discovery_server,
    ):
        valid_config = json.loads(config_path.read_text())
        config_path.write_text("{")
        process.send_signal(signal.SIGHUP)
        wait_for_log_line(log, "configuration_rejected error=")
        discovery_server.bind(("127.0.0.1", 0))
        discovery_server.settimeout(10)
        discovery_port = discovery_server.getsockname()[1]
        config_path.write_text(json.dumps(valid_config | {"dns": f"127.0.0.1:{discovery_port}"}))
        process.send_signal(signal.SIGHUP)
        assert b"_back" in discovery_server.recv(512)  # the query contains the service name
        assert terminate(process) == 0


def test_version_and_check_config_print_one_line_and_an_unusable_file_exits_with_2(
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


def test_an_upgrade_moves_clients_to_a_second_process_on_the_same_address(tmp_path: Path) -> None:
    """The platform starts a second process on the same address, then sends SIGTERM to the first one."""
    listen_port = free_port()
    first_control_port = free_port()
    second_control_port = free_port()
    environment = write_config(tmp_path) | {"BALANCER_LISTEN": f"127.0.0.1:{listen_port}"}

    def start(control_port: int) -> subprocess.Popen[str]:
        process = start_router(environment | {"BALANCER_CONTROL": f"127.0.0.1:{control_port}"})
        wait_for_log_line(log_stream(process), SERVING_PATTERN)
        return process

    first_process = start(first_control_port)
    try:
        # The response is a rejection, because no worker can be reached.
        assert send_call(listen_port, 1)[:2] == [1, 1]
        # Without SO_REUSEPORT the second process would exit with 1, because the address is in use.
        second_process = start(second_control_port)
        try:
            assert send_command(second_control_port, b"PING\n") == "YES\n"
            assert terminate(first_process) == 0
            for number in range(2, 6):
                assert send_call(listen_port, number)[:2] == [1, number]
            assert send_command(second_control_port, b"INFO\n").startswith("YES\n")
        finally:
            kill_router(second_process)
    finally:
        kill_router(first_process)


def test_an_upgraded_process_joins_its_peers_once_the_old_process_has_released_the_port(
    tmp_path: Path,
) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old_process_socket:
        old_process_socket.bind(("127.0.0.1", 0))
        port = old_process_socket.getsockname()[1]
        write_config(tmp_path)
        config = json.loads((tmp_path / "config.json").read_text())
        limits = config["settings"]["limits"] | {"peers": True}
        config["settings"] = config["settings"] | {"balancers": 2, "ordinal": 0, "limits": limits}
        config |= {"peer_listen": f"127.0.0.1:{port}", "peers": [f"127.0.0.1:{port}", "127.0.0.1:1"]}
        (tmp_path / "config.json").write_text(json.dumps(config))
        process = start_router({"BALANCER_CONFIG": str(tmp_path / "config.json")})
        try:
            wait_for_log_line(log_stream(process), "peer_listen_failed address=")
            old_process_socket.close()
            wait_for_log_line(log_stream(process), "gossip_started peers=2 ")
        finally:
            kill_router(process)
