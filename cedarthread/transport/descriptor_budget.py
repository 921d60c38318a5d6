"""The budget of file descriptors: how many there are, what is reserved, and who may hold the rest.

Clients may use theirs to the last one: log, event loop, discovery, the operators' address and the worker
connections live on what is kept from them here.
"""

from __future__ import annotations

import errno
import os
import resource
from dataclasses import dataclass

CLIENT_FRACTION = 0.5  # of all descriptors: client connections
INVOKE_FRACTION = 0.5  # of the rest: callers of the invoke API at most, before workers
MAX_OPERATOR_CONNECTIONS = 16
CLIENT_ACCEPTS_PER_PASS = 16  # client connections accepted in one loop pass at most
SMALL_ACCEPTS_PER_PASS = 4  # the same of operators, and of invoke callers
# Under a small limit there is one operator connection, and one accept a pass, for so many descriptors.
DESCRIPTORS_PER_RESERVATION = 32
MIN_RESERVATIONS = 2
LISTENING_SOCKETS = 3  # clients', operators', invoke callers'
DISCOVERY_SOCKETS = 2  # the one in use, and the next one while the address changes
PEER_SOCKETS = 1
OPEN_FILES = 4  # configuration, certificates or store, while they are read anew
UNKNOWN_OPEN_DESCRIPTORS = 6  # standard input, output and error, the loop's poll and its pair of sockets
UNLIMITED = 2**31
# A call fails with one of these where no descriptor, or no memory for one, is to be had now.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors by who may hold them.

    ``limit`` is the sum of ``reserved``, ``client_connections``, ``invoke_connections`` and
    ``worker_connections``.
    """

    limit: int
    reserved: int  # open at the start, or kept for what must always be available
    client_connections: int
    invoke_connections: int
    worker_connections: int
    operator_connections: int  # part of ``reserved``
    accepts_per_pass: int  # of client connections; what they evict is closed one pass later


def soft_limit() -> int:
    """The soft RLIMIT_NOFILE of this process. It is read, never changed."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED if limit == resource.RLIM_INFINITY else limit


def count_open_descriptors() -> int:
    """Descriptors that this process holds, those it was started with included."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one belongs to the listing itself
    except OSError:
        return UNKNOWN_OPEN_DESCRIPTORS


def compute_budget(
    configured_limit: int, invoke_connections: int, process_limit: int, already_open: int
) -> DescriptorBudget:
    """The budget under the smaller limit; ValueError if it leaves none for workers.

    ``invoke_connections``: how many the invoke API is configured to hold, 0 where it is off;
    ``already_open``: descriptors open at the start.
    """
    limit = min(configured_limit, process_limit)
    small_share = max(MIN_RESERVATIONS, limit // DESCRIPTORS_PER_RESERVATION)
    operator_connections = min(MAX_OPERATOR_CONNECTIONS, small_share)
    accepts_per_pass = min(CLIENT_ACCEPTS_PER_PASS, small_share)
    small_accepts_per_pass = min(SMALL_ACCEPTS_PER_PASS, small_share)
    # A connection that is evicted for another is closed one loop pass later: both count until then.
    evicted = accepts_per_pass + small_accepts_per_pass
    if invoke_connections:
        evicted += small_accepts_per_pass
    fixed = LISTENING_SOCKETS + DISCOVERY_SOCKETS + PEER_SOCKETS + OPEN_FILES
    reserved = already_open + fixed + operator_connections + evicted
    client_connections = int(limit * CLIENT_FRACTION)
    rest = limit - client_connections - reserved
    invoke_connections = max(0, min(invoke_connections, int(rest * INVOKE_FRACTION)))
    worker_connections = rest - invoke_connections
    if worker_connections < 1:
        raise ValueError(f"{limit} descriptors leave none for runners")
    return DescriptorBudget(
        limit,
        reserved,
        client_connections,
        invoke_connections,
        worker_connections,
        operator_connections,
        accepts_per_pass,
    )
