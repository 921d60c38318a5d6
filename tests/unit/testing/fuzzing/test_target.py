"""Tests of the verdict on an input, choices from an input, minimisation, and generated DNS replies."""

from __future__ import annotations

import random

from cedarthread.protocols import dns
from cedarthread.testing.fuzzing import corpus
from cedarthread.testing.fuzzing.dns_target import DnsTarget, generate_reply, pack_reply
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target, verdict


class FaultyTarget(Target):
    """A target that shows a different kind of fault for each input."""

    line_budget = Budget(100, 0)
    byte_budget = Budget(100_000, 0)

    def check(self, data: bytes) -> None:
        if data == b"finding":
            raise Finding("seen")
        if data == b"memory":
            bytearray(10**6)
        if data == b"work":
            dns.parse(pack_reply(generate_reply(random.Random(1), 60)))
        if data == b"error":
            raise KeyError("k")


def test_a_verdict_distinguishes_findings_exceptions_and_exceeded_limits() -> None:
    target = FaultyTarget()
    assert verdict(target, b"finding", metered=True) == "seen"
    assert verdict(target, b"error") == "KeyError: 'k'"
    assert "lines executed" in (verdict(target, b"work", metered=True) or "")
    assert "bytes allocated" in (verdict(target, b"memory", metered=True) or "")
    assert verdict(target, b"", metered=True) is None


def test_minimising_keeps_only_the_bytes_that_cause_the_fault() -> None:
    assert corpus.minimise(b"..a....b...", lambda data: b"a" in data and b"b" in data) == b"ab"


def test_choices_past_the_end_of_an_input_select_the_first_option() -> None:
    choices = FuzzedDataProvider(b"\x05")
    assert choices.pick("abc") == "c"
    assert choices.pick("abc") == "a"
    assert not choices.has_more()


def test_generated_dns_replies_are_parsed_as_generated() -> None:
    reply = generate_reply(random.Random(3), 5)
    assert dns.parse(pack_reply(reply)) == reply
    assert isinstance(verdict(DnsTarget(), pack_reply(reply)), (str, type(None)))
