"""The budget of file descriptors: the limit, the reserved descriptors, and the division of the others.

Clients may use all of their descriptors, because the log, the event loop, discovery, the control address and
worker connections have separate ones.
"""

from __future__ import annotations

import errno
import os
import resource
from dataclasses import dataclass

CLIENT_FRACTION = 0.5  # fraction of all descriptors for client connections
# Maximum fraction for invoke API callers, of the descriptors that they share with workers.
INVOKE_FRACTION = 0.5
MAX_OPERATOR_CONNECTIONS = 16
CLIENT_ACCEPTS_PER_ITERATION = 16  # client connections accepted per iteration of the event loop
SECONDARY_ACCEPTS_PER_ITERATION = 4  # connections of operators, and of invoke callers, accepted per iteration
# Under a small limit, operator connections and accepts per iteration are each capped at one for every
# ``DESCRIPTORS_PER_CAPPED_CONNECTION`` descriptors, but not below ``MIN_CONNECTION_CAP``.
DESCRIPTORS_PER_CAPPED_CONNECTION = 32
MIN_CONNECTION_CAP = 2
LISTENING_SOCKETS = 3  # sockets that listen for clients, operators and invoke API callers
DISCOVERY_SOCKETS = 2  # the current socket, and a second one while the address changes
PEER_SOCKETS = 1
OPEN_FILES = 4  # files of the configuration, certificates or store that are open during a reload
# Used if counting fails: standard input, output and error, the event loop's epoll and its socket pair.
ASSUMED_OPEN_DESCRIPTORS = 6
UNLIMITED = 2**31
# Errors of a system call when no descriptor, or no memory for one, is available.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The number of descriptors for each purpose.

    ``limit`` is the sum of ``reserved``, ``client_connections``, ``invoke_connections`` and
    ``worker_connections``.
    """

    limit: int
    reserved: int  # descriptors open at the start, or for purposes that must always be available
    client_connections: int
    invoke_connections: int
    worker_connections: int
    operator_connections: int  # part of ``reserved``
    # Client connections accepted per iteration; evicted connections close one iteration later.
    accepts_per_iteration: int


def soft_limit() -> int:
    """Return the soft RLIMIT_NOFILE of this process, which is never changed."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED if limit == resource.RLIM_INFINITY else limit


def count_open_descriptors() -> int:
    """Return the number of open descriptors of this process."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the descriptor that lists the directory
    except OSError:
        return ASSUMED_OPEN_DESCRIPTORS


def compute_budget(
    configured_limit: int, invoke_connections: int, process_limit: int, already_open: int
) -> DescriptorBudget:
    """Compute the budget for the smaller of two limits.

    Args:
        configured_limit: The limit of the configuration.
        invoke_connections: The configured connections of the invoke API; 0 if it is off.
        process_limit: The limit of the process.
        already_open: Descriptors open at the start.

    Raises:
        ValueError: No descriptor is left for workers.
    """
    limit = min(configured_limit, process_limit)
    connection_cap = max(MIN_CONNECTION_CAP, limit // DESCRIPTORS_PER_CAPPED_CONNECTION)
    operator_connections = min(MAX_OPERATOR_CONNECTIONS, connection_cap)
    accepts_per_iteration = min(CLIENT_ACCEPTS_PER_ITERATION, connection_cap)
    secondary_accepts_per_iteration = min(SECONDARY_ACCEPTS_PER_ITERATION, connection_cap)
    # An evicted connection closes one iteration after the new one is accepted; until then both are open.
    evicted_connections = accepts_per_iteration + secondary_accepts_per_iteration
    if invoke_connections:
        evicted_connections += secondary_accepts_per_iteration
    fixed_descriptors = LISTENING_SOCKETS + DISCOVERY_SOCKETS + PEER_SOCKETS + OPEN_FILES
    reserved = already_open + fixed_descriptors + operator_connections + evicted_connections
    client_connections = int(limit * CLIENT_FRACTION)
    shared_descriptors = limit - client_connections - reserved
    invoke_connections = max(0, min(invoke_connections, int(shared_descriptors * INVOKE_FRACTION)))
    worker_connections = shared_descriptors - invoke_connections
    if worker_connections < 1:
        raise ValueError(f"a limit of {limit} file descriptors leaves none for worker connections")
    return DescriptorBudget(
        limit,
        reserved,
        client_connections,
        invoke_connections,
        worker_connections,
        operator_connections,
        accepts_per_iteration,
    )
