"""The list of all fuzz targets. A new target is added to ``ALL_TARGETS``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.fuzzing import (
    call_machine,
    config_targets,
    deferred_target,
    discovery_target,
    dns_target,
    endpoint_list_target,
    http_target,
    identity_targets,
    invoke_target,
    msgpack_target,
    platform_target,
    simulator_target,
    worker_lines_target,
)

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.target import Target

ALL_TARGETS: tuple[type[Target], ...] = (
    msgpack_target.MessagePackTarget,
    platform_target.PlatformTarget,
    worker_lines_target.WorkerLinesTarget,
    dns_target.DnsTarget,
    endpoint_list_target.EndpointListTarget,
    discovery_target.DiscoveryTarget,
    http_target.HttpHeadTarget,
    invoke_target.InvokeTarget,
    identity_targets.SpiffeIdTarget,
    identity_targets.CertificateTarget,
    config_targets.ConfigFileTarget,
    config_targets.InvokeConfigTarget,
    simulator_target.SimulatorTarget,
    deferred_target.DeferredCallsTarget,
    call_machine.CallMachineTarget,
)


def targets_by_name() -> dict[str, Target]:
    """Return a new instance of every target, by the target's name."""
    return {target.name: target() for target in ALL_TARGETS}
