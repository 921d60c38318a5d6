"""All targets, in one place. A new parser or machine joins by a line here."""

from __future__ import annotations

from cedarthread.fuzz import identities, kept, machine, parsers, streams
from cedarthread.fuzz.target import Target

ALL: tuple[type[Target], ...] = (
    parsers.MessagePack,
    streams.Platform,
    streams.RunnerLines,
    parsers.Dns,
    streams.RosterNews,
    streams.Exchange,
    parsers.HttpHead,
    streams.Invoke,
    identities.SpiffeId,
    identities.Certificate,
    parsers.ConfigFile,
    parsers.InvokeFile,
    parsers.SimulatorWire,
    kept.DeferredStore,
    machine.CallMachine,
)


def named() -> dict[str, Target]:
    """A target of each kind, by its name."""
    return {target.name: target() for target in ALL}
