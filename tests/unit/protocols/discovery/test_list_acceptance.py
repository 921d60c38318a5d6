"""Which list is the present one: replies to two queries have to agree, whatever serial one alone bears."""

from __future__ import annotations

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.protocols.discovery.list_acceptance import (
    CANDIDATE_LIFETIME_S,
    LOWER_SERIAL_CONFIRMATION_S,
    ListAcceptance,
    ListVerdict,
)

KNOWN, NEW, UNCONFIRMED = ListVerdict.KNOWN, ListVerdict.NEW, ListVerdict.UNCONFIRMED


def listed(*names: str) -> frozenset[EndpointRecord]:
    return frozenset(
        EndpointRecord(name, "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
        for name in names
    )


BOTH, ONE = listed("a", "b"), listed("a")


class Replies:
    """Replies to one query after the other, so many s apart."""

    def __init__(self) -> None:
        self.acceptance, self.now_s, self.query_id = ListAcceptance(), 100.0, 0

    def take(
        self,
        serial: int,
        records: frozenset[EndpointRecord],
        after_s: float = 0.03,
        *,
        is_repeat: bool = False,
    ) -> ListVerdict:
        self.now_s += after_s
        self.query_id += not is_repeat
        return self.acceptance.consider(serial, records, self.query_id, self.now_s)


def in_use(serial: int = 1) -> Replies:
    replies = Replies()
    assert [replies.take(serial, BOTH), replies.take(serial, BOTH), replies.take(serial, BOTH)] == [
        UNCONFIRMED,
        NEW,
        KNOWN,
    ]
    return replies


def test_one_query_alone_confirms_nothing_however_often_its_reply_comes() -> None:
    replies = in_use()
    assert replies.take(2, ONE) is UNCONFIRMED
    assert replies.take(2, ONE, is_repeat=True) is UNCONFIRMED
    assert replies.take(2, ONE) is NEW
    assert replies.acceptance.serial == 2


def test_an_old_reply_whose_serial_is_ahead_is_not_taken_and_hides_nothing() -> None:
    replies = in_use()
    assert replies.take(2, BOTH) is UNCONFIRMED
    assert replies.take(1, BOTH) is KNOWN
    assert [replies.take(2, ONE), replies.take(2, ONE)] == [UNCONFIRMED, NEW]


def test_a_list_of_the_same_serial_with_other_workers_is_taken_once_it_is_confirmed() -> None:
    replies = in_use(2)
    assert [replies.take(2, ONE), replies.take(2, ONE)] == [UNCONFIRMED, NEW]


def test_a_lower_serial_is_old_news_unless_nothing_else_comes() -> None:
    replies = in_use(5)
    assert [replies.take(4, ONE) for _ in range(3)] == [UNCONFIRMED] * 3
    assert replies.take(5, BOTH) is KNOWN
    assert replies.take(4, ONE) is UNCONFIRMED
    assert replies.take(4, ONE, LOWER_SERIAL_CONFIRMATION_S) is NEW
    assert replies.acceptance.serial == 4


def test_beside_a_server_with_the_list_in_use_a_newer_one_needs_one_query_more() -> None:
    """After a move two servers are asked."""
    replies = in_use()
    for expected in (UNCONFIRMED, UNCONFIRMED, NEW):
        assert replies.take(2, ONE) is expected
        if expected is UNCONFIRMED:
            assert replies.take(1, BOTH, is_repeat=True) is KNOWN
    late = in_use()
    for _ in range(5):
        assert late.take(2, ONE, CANDIDATE_LIFETIME_S) is UNCONFIRMED
        assert late.take(1, BOTH, CANDIDATE_LIFETIME_S / 5, is_repeat=True) is KNOWN
        assert late.take(1, BOTH, CANDIDATE_LIFETIME_S) is KNOWN, (
            "an old reply now and then adds up to nothing"
        )


def test_an_empty_list_is_taken_only_from_two_queries_in_a_row() -> None:
    replies = in_use()
    for _ in range(5):
        assert replies.take(9, listed()) is UNCONFIRMED
        assert replies.take(1, BOTH) is KNOWN
    assert [replies.take(9, listed()), replies.take(9, listed())] == [UNCONFIRMED, NEW]


def test_a_list_that_was_changed_by_an_unconfirmed_one_is_confirmed_again() -> None:
    replies = in_use()
    replies.acceptance.must_confirm_again = True
    assert [replies.take(1, BOTH), replies.take(1, BOTH), replies.take(1, BOTH)] == [UNCONFIRMED, NEW, KNOWN]
