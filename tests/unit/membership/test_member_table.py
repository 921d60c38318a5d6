"""The rules by which updates change the member table."""

from __future__ import annotations

import pytest

from cedarthread.membership.codec import MemberStatus, MemberUpdate
from cedarthread.membership.dissemination import DisseminationBuffer
from cedarthread.membership.member_table import MAX_INCARNATION_STEP, MemberTable, StatusChange
from tests.unit.membership.builders import make_table

ALIVE = MemberStatus.ALIVE
SUSPECT = MemberStatus.SUSPECT
DEAD = MemberStatus.DEAD


@pytest.mark.parametrize(
    ("known", "update", "expected"),
    [
        ((3, ALIVE), (3, SUSPECT), (3, SUSPECT)),
        ((3, SUSPECT), (3, DEAD), (3, DEAD)),
        ((3, SUSPECT), (3, ALIVE), (3, SUSPECT)),
        ((3, DEAD), (3, SUSPECT), (3, DEAD)),
        ((3, DEAD), (4, ALIVE), (4, ALIVE)),
        ((3, ALIVE), (2, DEAD), (3, ALIVE)),
        ((3, ALIVE), (3 + MAX_INCARNATION_STEP, DEAD), (3 + MAX_INCARNATION_STEP, DEAD)),
        ((3, ALIVE), (4 + MAX_INCARNATION_STEP, DEAD), (3, ALIVE)),
    ],
)
def test_a_higher_incarnation_or_a_worse_status_at_the_same_incarnation_overrides(
    known: tuple[int, MemberStatus], update: tuple[int, MemberStatus], expected: tuple[int, MemberStatus]
) -> None:
    table = make_table()
    table.merge(1.0, MemberUpdate(2, *known))
    table.merge(2.0, MemberUpdate(2, *update))
    assert table.update_of(2) == MemberUpdate(2, *expected)


@pytest.mark.parametrize(
    ("update", "expected"),
    [
        ((5, ALIVE), 5),
        ((5, SUSPECT), 6),
        ((5, DEAD), 6),
        ((4, DEAD), 5),
        ((6, ALIVE), 7),
        ((6 + MAX_INCARNATION_STEP, DEAD), 5),
    ],
)
def test_only_an_accusation_or_a_higher_incarnation_raises_the_routers_own_incarnation(
    update: tuple[int, MemberStatus], expected: int
) -> None:
    table = make_table()
    table.incarnation = 5
    table.merge(1.0, MemberUpdate(0, *update))
    assert table.incarnation == expected
    assert table.status_of(0) is ALIVE


def test_an_update_without_change_is_not_disseminated() -> None:
    buffer = DisseminationBuffer(4, 0.0)
    table = MemberTable(0, 4, buffer, 0.0)
    table.merge(1.0, MemberUpdate(2, 3, SUSPECT))
    assert list(buffer.pending) == [2]
    buffer.pending.clear()
    for update in (MemberUpdate(2, 3, SUSPECT), MemberUpdate(2, 3, ALIVE), MemberUpdate(2, 2, DEAD)):
        table.merge(2.0, update)
    assert not buffer.pending


def test_each_status_change_is_recorded_once() -> None:
    table = make_table()
    table.set_status(1.0, 2, SUSPECT)
    table.set_status(2.0, 2, SUSPECT)
    table.set_status(3.0, 2, DEAD)
    assert table.status_changes == [StatusChange(2, SUSPECT), StatusChange(2, DEAD)]
    assert table.alive_peers() == [1, 3]
    assert table.dead_peers() == [2]
