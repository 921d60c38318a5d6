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

ALL_TARGETS: tuple[type[Target], ...] = (
    parser_targets.MessagePackTarget,
    stream_targets.PlatformTarget,
    stream_targets.WorkerLinesTarget,
    parser_targets.DnsTarget,
    stream_targets.EndpointListTarget,
    stream_targets.DiscoveryTarget,
    parser_targets.HttpHeadTarget,
    stream_targets.InvokeTarget,
    identity_targets.SpiffeIdTarget,
    identity_targets.CertificateTarget,
    parser_targets.ConfigFileTarget,
    parser_targets.InvokeConfigTarget,
    parser_targets.SimulatorTarget,
    deferred_target.DeferredCallsTarget,
    call_machine.CallMachineTarget,
)


def targets_by_name() -> dict[str, Target]:
    """A target of each kind, by its name."""
    return {target.name: target() for target in ALL_TARGETS}
