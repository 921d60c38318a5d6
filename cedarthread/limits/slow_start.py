"""How much a worker that started lately may be sent, by what it can do at least and by own demand."""

from __future__ import annotations

from collections import deque

from cedarthread import interface as i

SAFETY = 0.6  # part of a cold worker's budget that all routers together may use


def part(rules: i.Rules, age: float) -> float:
    """The part of its capacity that a worker has at least, so many ms after its start."""
    if age >= rules.cold_time:
        return 1.0
    return rules.cold_from + (1 - rules.cold_from) * max(0.0, age) / rules.cold_time


def fits(
    rules: i.Rules, now: float, sent: deque[tuple[float, float]], ration: float, share: float, work: float
) -> bool:
    """Whether ``work`` ms more fit a cold worker's budget over rule 4's window, after what was sent there.

    ``share``: the work a ms that this router would send it, times the part of its capacity that it has. It
    follows own demand, so that all routers' parts sum to the fleet's. Under one request, that part of the
    routers, by ``ration``, may send one: more of them as the worker warms."""
    while sent and sent[0][0] <= now - rules.fall_time:
        sent.popleft()
    budget = SAFETY * rules.fall_multiple * share * rules.fall_time
    if not sent and budget < work:
        return ration < budget / work
    return sum(w for _, w in sent) + work <= budget


def ended(sent: deque[tuple[float, float]], at: float, *, left: bool) -> None:
    """What was booked as sent at that time has ended; what never ``left`` takes no part of the budget."""
    for entry in () if left else sent:
        if entry[0] == at:
            sent.remove(entry)
            return
