"""The descriptor budget: its parts add up to the limit, and the process limit is read but not changed."""

from __future__ import annotations

import os
import resource
import socket

import pytest

from cedarthread.transport import descriptor_budget


@pytest.mark.parametrize("limit", [48, 64, 96, 128, 200, 256, 512, 1024, 4096, 65536])
@pytest.mark.parametrize("callers", [0, 128])
def test_the_budget_never_exceeds_the_smaller_limit(limit: int, callers: int) -> None:
    for configured_limit, process_limit in ((limit, 2**31), (2**31, limit)):
        budget = descriptor_budget.compute_budget(
            configured_limit, callers if limit >= 96 else 0, process_limit, already_open=6
        )
        assert budget.limit == limit
        connections = budget.client_connections + budget.invoke_connections + budget.worker_connections
        assert connections + budget.reserved == limit
        assert budget.client_connections >= limit // 3, "clients may use a third of the limit"
        assert min(budget.worker_connections, budget.operator_connections, budget.accepts_per_iteration) >= 1
        assert budget.reserved >= (
            6
            + budget.accepts_per_iteration
            + budget.operator_connections
            + descriptor_budget.DISCOVERY_SOCKETS
            + descriptor_budget.PEER_SOCKETS
            + descriptor_budget.OPEN_FILES
        )


def test_descriptors_open_at_the_start_are_not_assigned_twice() -> None:
    with_106_open = descriptor_budget.compute_budget(1024, 0, 1024, already_open=106)
    with_6_open = descriptor_budget.compute_budget(1024, 0, 1024, already_open=6)
    assert with_6_open.worker_connections - with_106_open.worker_connections == 100
    with pytest.raises(ValueError, match="a limit of 40 file descriptors leaves none for worker connections"):
        descriptor_budget.compute_budget(1024, 0, 40, already_open=6)


def test_the_process_limit_is_read_and_not_changed() -> None:
    limits_before = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert descriptor_budget.soft_limit() == limits_before[0]
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == limits_before
    with socket.socket():
        assert descriptor_budget.count_open_descriptors() == len(os.listdir("/proc/self/fd")) - 1
