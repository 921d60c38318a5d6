"""All targets, in one place. A new parser or machine joins by a line here."""

from __future__ import annotations

from cedarthread.testing.fuzzing import (
    call_machine,
    deferred_target,
    identity_targets,
    parser_targets,
    stream_targets,
)
from cedarthread.testing.fuzzing.target import Target

ALL: tuple[type[Target], ...] = (
    parser_targets.MessagePack,
    stream_targets.Platform,
    stream_targets.RunnerLines,
    parser_targets.Dns,
    stream_targets.RosterNews,
    stream_targets.Exchange,
    parser_targets.HttpHead,
    stream_targets.Invoke,
    identity_targets.SpiffeId,
    identity_targets.Certificate,
    parser_targets.ConfigFile,
    parser_targets.InvokeFile,
    parser_targets.SimulatorWire,
    deferred_target.DeferredStore,
    call_machine.CallMachine,
)


def named() -> dict[str, Target]:
    """A target of each kind, by its name."""
    return {target.name: target() for target in ALL}
