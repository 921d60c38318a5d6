"""Errors in the invoke API's configuration file name the key and the expected value, without Python types."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from cedarthread.protocols.invoke import config

VALID_LINES = {
    "listen": '"127.0.0.1:8443"',
    "trust_domain": '"gaz.example"',
    "svid": '"svid.pem"',
    "key": '"key.pem"',
    "bundle": '"bundle.pem"',
    "allow": '["spiffe://gaz.example/desk/*"]',
}
PYTHON_TYPE_NAME = re.compile(r"Error|NoneType|\bdict\b|\bstr\b|\bint\b|object has no|subscriptable|iterable")


def parse(lines: dict[str, str]) -> config.InvokeConfig:
    text = "[invoke]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
    return config.parse(text.encode(), Path("/etc/cedarthread/invoke.toml"))


def error_message(raw: bytes) -> str:
    with pytest.raises(ValueError, match=r".") as caught:
        config.parse(raw, Path("invoke.toml"))
    return str(caught.value)


def test_a_valid_file_with_an_unknown_key_is_accepted() -> None:
    parsed = parse(VALID_LINES | {"comment": '"of a later version"'})
    assert (parsed.host, parsed.port) == ("127.0.0.1", 8443)
    assert parsed.key_path == Path("/etc/cedarthread/key.pem")
    assert parsed.max_connections == config.DEFAULT_MAX_CONNECTIONS


@pytest.mark.parametrize("missing", VALID_LINES)
def test_an_error_names_the_missing_key(missing: str) -> None:
    lines = {key: value for key, value in VALID_LINES.items() if key != missing}
    with pytest.raises(ValueError, match=f'^missing required key "{missing}"$'):
        parse(lines)


def test_an_error_names_the_missing_table() -> None:
    assert error_message(b"") == 'missing required key "invoke"'


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("listen", '"nowhere"', "'nowhere' is not an address of the form host:port"),
        ("listen", '"127.0.0.1:65536"', "'127.0.0.1:65536' is not an address of the form host:port"),
        ("allow", "7", 'key "allow" takes a list of SPIFFE IDs'),
        (
            "allow",
            '["spiffe://other.example/desk/*"]',
            "allow: spiffe://other.example/desk/* is not a SPIFFE ID of trust domain gaz.example",
        ),
        ("connections", '"many"', 'key "connections" takes a whole number'),
        ("connections", "[]", 'key "connections" takes a whole number'),
        ("connections", "inf", 'key "connections" takes a whole number'),
        ("connections", "0", "connections takes 1 to 65535, not 0"),
        ("connections", "65536", "connections takes 1 to 65535, not 65536"),
    ],
)
def test_an_error_names_a_value_of_a_wrong_type_or_out_of_range(key: str, value: str, message: str) -> None:
    with pytest.raises(ValueError, match=f"^{re.escape(message)}$"):
        parse(VALID_LINES | {key: value})


@pytest.mark.parametrize(
    "raw", [b"invoke = 7\n", b"invoke = []\n", b"[invoke\n", b"\xff", b"x = " + b"[" * 5000 + b"]" * 5000]
)
def test_no_error_names_a_python_type(raw: bytes) -> None:
    assert not PYTHON_TYPE_NAME.search(error_message(raw))
