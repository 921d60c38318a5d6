"""Acceptance of endpoint lists: replies to two queries must agree; a single reply confirms no serial."""

from __future__ import annotations

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.protocols.discovery.list_acceptance import (
    CANDIDATE_LIFETIME_S,
    LOWER_SERIAL_CONFIRMATION_S,
    ListAcceptance,
    ListVerdict,
)

KNOWN = ListVerdict.KNOWN
NEW = ListVerdict.NEW
UNCONFIRMED = ListVerdict.UNCONFIRMED


def endpoint_list(*names: str) -> frozenset[EndpointRecord]:
    return frozenset(
        EndpointRecord(name, "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
        for name in names
    )


BOTH_WORKERS = endpoint_list("a", "b")
ONE_WORKER = endpoint_list("a")


class Replies:
    """Replies to consecutive queries, on a virtual clock."""

    def __init__(self) -> None:
        self.acceptance = ListAcceptance()
        self.now_s = 100.0
        self.query_id = 0

    def receive(
        self,
        serial: int,
        records: frozenset[EndpointRecord],
        after_s: float = 0.03,
        *,
        is_repeat: bool = False,
    ) -> ListVerdict:
        """Return the verdict on a reply to the next query, or to the same query if ``is_repeat``."""
        self.now_s += after_s
        self.query_id += not is_repeat
        return self.acceptance.evaluate(serial, records, self.query_id, self.now_s)


def replies_with_accepted_list(serial: int = 1) -> Replies:
    """Return replies after which the list of both workers is in use under this serial."""
    replies = Replies()
    assert [
        replies.receive(serial, BOTH_WORKERS),
        replies.receive(serial, BOTH_WORKERS),
        replies.receive(serial, BOTH_WORKERS),
    ] == [
        UNCONFIRMED,
        NEW,
        KNOWN,
    ]
    return replies


def test_duplicate_replies_to_one_query_confirm_nothing() -> None:
    replies = replies_with_accepted_list()
    assert replies.receive(2, ONE_WORKER) is UNCONFIRMED
    assert replies.receive(2, ONE_WORKER, is_repeat=True) is UNCONFIRMED
    assert replies.receive(2, ONE_WORKER) is NEW
    assert replies.acceptance.serial == 2


def test_an_outdated_reply_with_a_higher_serial_is_not_accepted_and_does_not_delay_the_next_list() -> None:
    replies = replies_with_accepted_list()
    assert replies.receive(2, BOTH_WORKERS) is UNCONFIRMED
    assert replies.receive(1, BOTH_WORKERS) is KNOWN
    assert [replies.receive(2, ONE_WORKER), replies.receive(2, ONE_WORKER)] == [UNCONFIRMED, NEW]


def test_a_list_of_the_same_serial_with_other_workers_is_accepted_once_it_is_confirmed() -> None:
    replies = replies_with_accepted_list(2)
    assert [replies.receive(2, ONE_WORKER), replies.receive(2, ONE_WORKER)] == [UNCONFIRMED, NEW]


def test_a_lower_serial_is_accepted_only_if_no_other_list_is_received_for_some_time() -> None:
    replies = replies_with_accepted_list(5)
    assert [replies.receive(4, ONE_WORKER) for _ in range(3)] == [UNCONFIRMED] * 3
    assert replies.receive(5, BOTH_WORKERS) is KNOWN
    assert replies.receive(4, ONE_WORKER) is UNCONFIRMED
    assert replies.receive(4, ONE_WORKER, LOWER_SERIAL_CONFIRMATION_S) is NEW
    assert replies.acceptance.serial == 4


def test_while_a_server_sends_the_list_in_use_a_newer_list_needs_one_more_query() -> None:
    """After a change of the discovery address, two servers are queried."""
    replies = replies_with_accepted_list()
    for expected in (UNCONFIRMED, UNCONFIRMED, NEW):
        assert replies.receive(2, ONE_WORKER) is expected
        if expected is UNCONFIRMED:
            assert replies.receive(1, BOTH_WORKERS, is_repeat=True) is KNOWN
    sparse_replies = replies_with_accepted_list()
    for _ in range(5):
        assert sparse_replies.receive(2, ONE_WORKER, CANDIDATE_LIFETIME_S) is UNCONFIRMED
        assert sparse_replies.receive(1, BOTH_WORKERS, CANDIDATE_LIFETIME_S / 5, is_repeat=True) is KNOWN
        assert sparse_replies.receive(1, BOTH_WORKERS, CANDIDATE_LIFETIME_S) is KNOWN, (
            "outdated replies that arrive far apart confirm nothing"
        )


def test_an_empty_list_is_accepted_only_from_two_consecutive_queries() -> None:
    replies = replies_with_accepted_list()
    for _ in range(5):
        assert replies.receive(9, endpoint_list()) is UNCONFIRMED
        assert replies.receive(1, BOTH_WORKERS) is KNOWN
    assert [replies.receive(9, endpoint_list()), replies.receive(9, endpoint_list())] == [UNCONFIRMED, NEW]


def test_a_list_whose_workers_were_demoted_by_an_unconfirmed_list_must_be_confirmed_again() -> None:
    replies = replies_with_accepted_list()
    replies.acceptance.must_confirm_again = True
    assert [
        replies.receive(1, BOTH_WORKERS),
        replies.receive(1, BOTH_WORKERS),
        replies.receive(1, BOTH_WORKERS),
    ] == [UNCONFIRMED, NEW, KNOWN]
