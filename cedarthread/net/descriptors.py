"""The book of descriptors: how many there are, what is kept back, and who may hold the rest.

Clients may take what is theirs to the last one: the log, the loop, the resolver, the operators' address and
the connections to the runners live on what is kept back here."""

from __future__ import annotations

import errno
import os
import resource
from dataclasses import dataclass

CLIENT_PART = 0.5  # part of the descriptors that clients' connections may take
CALLER_PART = 0.5  # part of the rest that callers of the invoke API may take at most, before runners
OPERATORS = 16  # connections to the operators' address at most
TURN = 16  # connections of clients accepted in one turn of the loop at most
SMALL_TURN = 4  # the same of operators, and of callers
PART = 32  # descriptors to each operator, and to each connection of a turn, where there are few
LISTENERS = 3  # clients', operators', callers'
RESOLVER = 2  # its socket, and the next one at a move
PEERS = 1
FILES = 4  # configuration, certificates or store, read anew
SCARCE = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})  # none to be had now


@dataclass(frozen=True, slots=True)
class Budget:
    """Descriptors by who may hold them; all of them together are ``limit``."""

    limit: int
    kept: int  # held at the start, or kept back for what must always be had
    clients: int
    callers: int
    runners: int
    operators: int  # connections to the operators' address; part of ``kept``
    turn: int  # connections of clients accepted in one turn; what they push out is closed in the next


def real_limit() -> int:
    """RLIMIT_NOFILE of this process, the soft one. It is read, never changed."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2**31 if soft == resource.RLIM_INFINITY else soft


def open_now() -> int:
    """Descriptors that this process holds, those that it was started with among them."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one is the look itself
    except OSError:
        return 6  # standard input, output and error, the loop's poll and its pair of sockets


def share_out(configured: int, callers: int, real: int, held: int) -> Budget:
    """The budget under the smaller limit; ValueError where it leaves none for runners.

    ``callers``: connections that the invoke API may hold, 0 where it is off; ``held``: open at the start."""
    limit = min(configured, real)
    few = max(2, limit // PART)
    operators, turn, small = min(OPERATORS, few), min(TURN, few), min(SMALL_TURN, few)
    # A connection that makes room for another is closed one turn later: both count till then.
    crossing = turn + small + (small if callers else 0)
    kept = held + LISTENERS + operators + crossing + RESOLVER + PEERS + FILES
    clients = int(limit * CLIENT_PART)
    rest = limit - clients - kept
    callers = max(0, min(callers, int(rest * CALLER_PART)))
    runners = rest - callers
    if runners < 1:
        raise ValueError(f"{limit} descriptors leave none for runners")
    return Budget(limit, kept, clients, callers, runners, operators, turn)
