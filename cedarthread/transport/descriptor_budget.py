"""The book of descriptors: how many there are, what is kept back, and who may hold the rest.

Clients may take what is theirs to the last one: the log, the loop, the resolver, the operators' address and
the connections to the runners live on what is kept back here."""

from __future__ import annotations

import errno
import os
import resource
from dataclasses import dataclass

CLIENT_FRACTION = 0.5  # part of the descriptors that clients' connections may take
INVOKE_FRACTION = 0.5  # part of the rest that callers of the invoke API may take at most, before runners
MAX_OPERATOR_CONNECTIONS = 16  # connections to the operators' address at most
CLIENT_ACCEPTS_PER_PASS = 16  # connections of clients accepted in one turn of the loop at most
SMALL_ACCEPTS_PER_PASS = 4  # the same of operators, and of callers
DESCRIPTORS_PER_RESERVATION = (
    32  # descriptors to each operator, and to each connection of a turn, where there are few
)
LISTENING_SOCKETS = 3  # clients', operators', callers'
DISCOVERY_SOCKETS = 2  # its socket, and the next one at a move
PEER_SOCKETS = 1
OPEN_FILES = 4  # configuration, certificates or store, read anew
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})  # none to be had now


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors by who may hold them; all of them together are ``limit``."""

    limit: int
    reserved: int  # held at the start, or kept back for what must always be had
    client_connections: int
    invoke_connections: int
    worker_connections: int
    operator_connections: int  # connections to the operators' address; part of ``kept``
    accepts_per_pass: (
        int  # connections of clients accepted in one turn; what they push out is closed in the next
    )


def soft_limit() -> int:
    """RLIMIT_NOFILE of this process, the soft one. It is read, never changed."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2**31 if soft == resource.RLIM_INFINITY else soft


def count_open_descriptors() -> int:
    """Descriptors that this process holds, those that it was started with among them."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one is the look itself
    except OSError:
        return 6  # standard input, output and error, the loop's poll and its pair of sockets


def compute_budget(
    configured_limit: int, invoke_connections: int, process_limit: int, already_open: int
) -> DescriptorBudget:
    """The budget under the smaller limit; ValueError where it leaves none for runners.

    ``callers``: connections that the invoke API may hold, 0 where it is off; ``held``: open at the start."""
    limit = min(configured_limit, process_limit)
    few = max(2, limit // DESCRIPTORS_PER_RESERVATION)
    operators, turn, small = (
        min(MAX_OPERATOR_CONNECTIONS, few),
        min(CLIENT_ACCEPTS_PER_PASS, few),
        min(SMALL_ACCEPTS_PER_PASS, few),
    )
    # A connection that makes room for another is closed one turn later: both count till then.
    crossing = turn + small + (small if invoke_connections else 0)
    kept = (
        already_open
        + LISTENING_SOCKETS
        + operators
        + crossing
        + DISCOVERY_SOCKETS
        + PEER_SOCKETS
        + OPEN_FILES
    )
    clients = int(limit * CLIENT_FRACTION)
    rest = limit - clients - kept
    invoke_connections = max(0, min(invoke_connections, int(rest * INVOKE_FRACTION)))
    runners = rest - invoke_connections
    if runners < 1:
        raise ValueError(f"{limit} descriptors leave none for runners")
    return DescriptorBudget(limit, kept, clients, invoke_connections, runners, operators, turn)
